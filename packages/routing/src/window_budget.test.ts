import test from 'ava';
import {maxSavedEach, WindowBudget} from './window_budget.js';

test('further attempts stay under the ratio in every window', t => {
  // All endpoints of a service fail at once. Without a bound each request
  // would be sent twice, and the service would get twice the load just when
  // it can bear the least.
  const budget = new WindowBudget({ratio: 0.2, windowMs: 1000});
  let taken = 0;
  for (let nowMs = 0; nowMs < 1000; nowMs += 10) {
    budget.countRequest(nowMs);
    if (budget.tryTake(nowMs)) taken += 1;
  }
  t.is(taken, 20);
});

test('what was spent comes back as the window moves', t => {
  const budget = new WindowBudget({ratio: 0.2, windowMs: 1000});
  t.true(budget.tryTake(0));
  t.false(budget.hasRoom(500));
  t.false(budget.tryTake(500));
  t.true(budget.tryTake(1000));
});

test('shares of instances sum to the share of the whole', t => {
  const budgets = Array.from(
    {length: 9},
    () => new WindowBudget({ratio: 0.2, windowMs: 10_000, floor: 0}),
  );
  let taken = 0;
  for (let index = 0; index < 900; index++) {
    const budget = budgets[(index * index) % 9];
    budget.countRequest(index);
    if (budget.tryTake(index)) taken += 1;
  }
  t.true(taken <= 0.2 * 900);
});

test('the end of a burst is not paid for by its beginning', t => {
  // Five times the usual load comes for some seconds, and a quarter of the
  // engines is lost in it. When it ends, thousands of requests are turned away by
  // engines that are still full. Seen: they were sent on by what the first second
  // of the burst had left unspent, and a window that began in its second one held
  // more of them than its own requests allow.
  const windowMs = 10_000;
  const slack = 160;
  const instances = 60;
  const readMaxSaved = (): number => maxSavedEach(slack, instances);
  const budgets = Array.from(
    {length: instances},
    () => new WindowBudget({ratio: 0.2, windowMs, readMaxSaved}),
  );
  const requestsAtMs: number[] = [];
  const extrasAtMs: number[] = [];
  for (let nowMs = 0; nowMs < 16_000; nowMs += 1) {
    const budget = budgets[(nowMs * 7) % instances];
    if (nowMs < 8000) {
      budget.countRequest(nowMs);
      requestsAtMs.push(nowMs);
    }
    const isTurnedAway = nowMs >= 3000 && nowMs < 12_000;
    if (isTurnedAway && budget.tryTake(nowMs)) extrasAtMs.push(nowMs);
  }
  for (let beginMs = 0; beginMs < 12_000; beginMs += 100) {
    const isInside = (atMs: number): boolean =>
      atMs >= beginMs && atMs < beginMs + windowMs;
    const requests = requestsAtMs.filter(isInside).length;
    const extras = extrasAtMs.filter(isInside).length;
    t.true(extras <= 0.2 * requests + slack, `${beginMs}: ${extras}`);
  }
});

test('while nobody has counted the instances, each saves up one', t => {
  t.is(maxSavedEach(160, undefined), 1);
  t.is(maxSavedEach(52, 100), 1);
  t.true(maxSavedEach(52, 6) * 6 + 6 <= 52);
});
