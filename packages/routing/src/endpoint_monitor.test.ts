import test from 'ava';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {EndpointMonitor} from './endpoint_monitor.js';

const ONE = brandAs<EndpointId>('one');

test('an unreachable endpoint gets nothing for a pause, then is tried again', t => {
  const monitor = new EndpointMonitor({firstBackoffMs: 100, maxBackoffMs: 300});
  monitor.note(ONE, 'unreachable', 0);
  t.true(monitor.isDown(ONE, 99));
  t.false(monitor.isDown(ONE, 100));
  monitor.note(ONE, 'unreachable', 100);
  t.true(monitor.isDown(ONE, 299));
  monitor.note(ONE, 'unreachable', 300);
  t.true(monitor.isDown(ONE, 599));
  t.false(monitor.isDown(ONE, 600));
  monitor.note(ONE, 'answered', 600);
  monitor.note(ONE, 'unreachable', 700);
  t.false(monitor.isDown(ONE, 800));
});

test('the share of failures decays, so that no endpoint is excluded for ever', t => {
  const monitor = new EndpointMonitor({failureHalfLifeMs: 1000});
  for (let count = 0; count < 10; count++) monitor.note(ONE, 'failed', 0);
  t.true(monitor.failureShare(ONE, 0) > 0.9);
  t.true(monitor.failureShare(ONE, 4000) < 0.1);
});

test('a reported load counts the requests of others, and decays', t => {
  const monitor = new EndpointMonitor({loadHalfLifeMs: 1000});
  monitor.begin(ONE, 1, 0);
  monitor.noteLoad(ONE, {running: 5, waiting: 2, capacity: 8}, 0);
  t.is(monitor.estimateLoad(ONE, 0), 7);
  monitor.begin(ONE, 1, 0);
  t.is(monitor.estimateLoad(ONE, 0), 8);
  t.is(monitor.estimateLoad(ONE, 1000), 5);
  monitor.end(ONE, 1);
  monitor.end(ONE, 1);
  t.is(monitor.inFlight(ONE), 0);
});

test('endpoints that are gone are forgotten', t => {
  const monitor = new EndpointMonitor();
  monitor.note(ONE, 'unreachable', 0);
  monitor.retain(new Set());
  t.false(monitor.isDown(ONE, 1));
});

test('all requests that notice one silence of an endpoint count once', t => {
  // Guards against avoiding an engine that paused for a second with dozens of
  // streams.
  const monitor = new EndpointMonitor();
  for (let count = 0; count < 30; count++) {
    monitor.note(ONE, 'silent', count * 10);
  }
  t.true(monitor.failureShare(ONE, 300) < 0.31);
  monitor.note(ONE, 'silent', 1600);
  t.true(monitor.failureShare(ONE, 1600) > 0.31);
});
