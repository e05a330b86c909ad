import test from 'ava';
import {StoreRecovery} from './store_recovery.js';

test('one of three followers asks a store that is away', t => {
  // Guards against three polls of each of hundreds of instances in an outage.
  const recovery = new StoreRecovery();
  const [configuration, endpoints] = [{}, {}];
  t.is(recovery.lose(configuration, 800), 800);
  t.is(recovery.lose(endpoints, 800), 2400);
  t.is(recovery.lose(configuration, 800), 800);
  t.true(recovery.isAway);
});

test('the others ask as soon as one has the store back', async t => {
  // Guards against endpoints that leave unseen for seconds after an outage.
  const recovery = new StoreRecovery();
  const [configuration, endpoints] = [{}, {}];
  recovery.lose(configuration, 800);
  const pauseMs = recovery.lose(endpoints, 20_000);
  const waited = recovery.wait(pauseMs);
  recovery.regain(configuration);
  await waited;
  t.is(recovery.lose(endpoints, 800), 800, 'it is the first now');
  recovery.regain(endpoints);
  t.false(recovery.isAway);
});
