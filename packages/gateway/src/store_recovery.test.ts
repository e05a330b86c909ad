import test from 'ava';
import {StoreRecovery} from './store_recovery.js';

test('only the first follower that failed retries at the normal pace', t => {
  // Guards against three polls by each of hundreds of instances in an outage.
  const recovery = new StoreRecovery();
  const [configuration, endpoints] = [{}, {}];
  t.is(recovery.noteFailure(configuration, 800), 800);
  t.is(recovery.noteFailure(endpoints, 800), 2400);
  t.is(recovery.noteFailure(configuration, 800), 800);
  t.true(recovery.isUnavailable);
});

test('the other followers retry as soon as one succeeds', async t => {
  // Guards against departures of endpoints that go unnoticed for seconds after
  // an outage.
  const recovery = new StoreRecovery();
  const [configuration, endpoints] = [{}, {}];
  recovery.noteFailure(configuration, 800);
  const pauseMs = recovery.noteFailure(endpoints, 20_000);
  const waited = recovery.wait(pauseMs);
  recovery.noteSuccess(configuration);
  await waited;
  t.is(
    recovery.noteFailure(endpoints, 800),
    800,
    'it is now the first that failed',
  );
  recovery.noteSuccess(endpoints);
  t.false(recovery.isUnavailable);
});
