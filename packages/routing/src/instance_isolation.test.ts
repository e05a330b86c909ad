import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import test from 'ava';
import {InstanceIsolation} from './instance_isolation.js';

function failed(name: string, startedAtMs: number, hasTimedOut = true) {
  const endpoint = brandAs<EndpointId>(name);
  return {endpoint, startedAtMs, hasTimedOut, knownEndpoints: 5};
}

test('two endpoints without a connection in between mean isolation', t => {
  // Guards against an instance that lost all links and tries each endpoint.
  const isolation = new InstanceIsolation();
  t.false(isolation.noteFailed(failed('a', 0), 100));
  t.false(isolation.noteFailed(failed('a', 100), 200));
  t.true(isolation.noteFailed(failed('b', 200), 300));
  t.true(isolation.isIsolated);
});

test('refusals count later than timeouts', t => {
  // Guards against taking a release of two endpoints for isolation.
  const isolation = new InstanceIsolation();
  t.false(isolation.noteFailed(failed('a', 0, false), 1));
  t.false(isolation.noteFailed(failed('b', 1, false), 2));
  t.true(isolation.noteFailed(failed('c', 2, false), 3));
});

test('an endpoint that is down alone means no isolation', t => {
  // Guards against blaming the instance while it reaches other endpoints.
  const isolation = new InstanceIsolation();
  for (let atMs = 0; atMs < 1000; atMs += 100) {
    isolation.noteConnected(atMs);
    // It began before the latest connection to another endpoint was opened.
    t.false(isolation.noteFailed(failed(`down-${atMs}`, atMs - 50), atMs + 1));
  }
  t.false(isolation.isIsolated);
});

test('the only endpoint that is known suffices', t => {
  const isolation = new InstanceIsolation();
  const only = {...failed('a', 0), knownEndpoints: 1};
  t.true(isolation.noteFailed(only, 100));
});

test('one connection ends the isolation', t => {
  const isolation = new InstanceIsolation();
  isolation.noteFailed(failed('a', 0), 100);
  isolation.noteFailed(failed('b', 0), 100);
  t.is(isolation.noteConnected(350), 250);
  t.false(isolation.isIsolated);
  t.is(isolation.noteConnected(360), undefined);
  t.true(isolation.hasConnectedSince(360));
  t.false(isolation.hasConnectedSince(361));
});

test('refusals alone don’t make links silent', t => {
  // Guards against instances that leave their own links unused, since the
  // endpoints of one service have crashed.
  const isolation = new InstanceIsolation();
  for (const name of ['a', 'b', 'c']) {
    isolation.noteFailed(failed(name, 0, false), 1);
  }
  t.true(isolation.isIsolated);
  t.false(isolation.hasSilentLinks);
  isolation.noteFailed(failed('d', 1), 200);
  isolation.noteFailed(failed('e', 1), 201);
  t.true(isolation.hasSilentLinks);
});

test('one probe per interval while isolated', t => {
  // Guards against all requests trying a link that is back at the same moment.
  const isolation = new InstanceIsolation({probeEveryMs: 400});
  t.false(isolation.takeProbe(0));
  isolation.noteFailed(failed('a', 0), 100);
  isolation.noteFailed(failed('b', 0), 100);
  t.false(isolation.takeProbe(499));
  t.is(isolation.probeLeftMs(499), 1);
  t.true(isolation.takeProbe(500));
  t.false(isolation.takeProbe(501));
});
