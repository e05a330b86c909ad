import test from 'ava';
import {WindowBudget} from './window_budget.js';

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
