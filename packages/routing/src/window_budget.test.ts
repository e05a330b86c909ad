import test from 'ava';
import {maxSavedEach, WindowBudget} from './window_budget.js';

test('retries stay within the ratio in a window', t => {
  // Guards against doubling the load of a service while all its endpoints fail,
  // since each request is retried.
  const budget = new WindowBudget({ratio: 0.2, windowMs: 1000});
  let taken = 0;
  for (let nowMs = 0; nowMs < 1000; nowMs += 10) {
    budget.countRequest(nowMs);
    if (budget.tryTake(nowMs)) taken += 1;
  }
  t.is(taken, 20);
});

test('used retries become available again as the window moves', t => {
  const budget = new WindowBudget({ratio: 0.2, windowMs: 1000});
  t.true(budget.tryTake(0));
  t.false(budget.hasRoom(500));
  t.false(budget.tryTake(500));
  t.true(budget.tryTake(1000));
});

test('retries of all instances together stay within the ratio', t => {
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

test('retries saved at the beginning of a burst are not used at its end', t => {
  // Guards against more retries in a window than its requests allow: in a burst
  // of five times the usual load a quarter of the engines is lost. When it
  // ends, full engines reject thousands of requests, which were retried with
  // what the first second had left unused, in windows that began in the second
  // one.
  const windowMs = 10_000;
  const slack = 160;
  const instances = 60;
  const readMaxSaved = (): number => maxSavedEach(slack, instances);
  const budgets = Array.from(
    {length: instances},
    () => new WindowBudget({ratio: 0.2, windowMs, readMaxSaved}),
  );
  const requestsAtMs: number[] = [];
  const retriesAtMs: number[] = [];
  for (let nowMs = 0; nowMs < 16_000; nowMs += 1) {
    const budget = budgets[(nowMs * 7) % instances];
    if (nowMs < 8000) {
      budget.countRequest(nowMs);
      requestsAtMs.push(nowMs);
    }
    const isRejected = nowMs >= 3000 && nowMs < 12_000;
    if (isRejected && budget.tryTake(nowMs)) retriesAtMs.push(nowMs);
  }
  for (let beginMs = 0; beginMs < 12_000; beginMs += 100) {
    const isInside = (atMs: number): boolean =>
      atMs >= beginMs && atMs < beginMs + windowMs;
    const requests = requestsAtMs.filter(isInside).length;
    const retries = retriesAtMs.filter(isInside).length;
    t.true(retries <= 0.2 * requests + slack, `${beginMs}: ${retries}`);
  }
});

test('until the instances are counted, each may save up one retry', t => {
  t.is(maxSavedEach(160, undefined), 1);
  t.is(maxSavedEach(52, 100), 1);
  t.true(maxSavedEach(52, 6) * 6 + 6 <= 52);
});
