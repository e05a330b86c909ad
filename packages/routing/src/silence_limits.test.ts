import test from 'ava';
import {overdueAfterMs} from './silence_limits.js';

const ROUTE = {latencyTargetMs: 400};

test('a wait is overdue after twice the usual one, within bounds by the target', t => {
  // Guards against engines that count as full as a route’s requests always
  // take long, and against late notice where they usually begin at once.
  t.is(overdueAfterMs(ROUTE, undefined), 400);
  t.is(overdueAfterMs(ROUTE, 10), 200);
  t.is(overdueAfterMs(ROUTE, 150), 300);
  t.is(overdueAfterMs(ROUTE, 3000), 800);
});
