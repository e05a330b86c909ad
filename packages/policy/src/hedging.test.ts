import test from 'ava';
import {
  DEFAULT_HEDGE_BUDGET,
  decideHedge,
  planHedge,
  type HedgePlanInput,
} from './hedging.js';
import {LatencyWindow} from './latency_window.js';
import {TokenBucket} from './token_bucket.js';

function windowOf(...values: number[]) {
  const window = new LatencyWindow();
  for (const value of values) window.add(value);
  return window;
}

/** First-token times of 1 to 100 ms. */
const MEASURED = windowOf(
  ...Array.from({length: 100}, (_, index) => index + 1),
);

const TABLE: ReadonlyArray<[string, Partial<HedgePlanInput>, object]> = [
  ['waits 1.5 times the quantile', {}, {kind: 'wait', delayMs: 143}],
  [
    'never without idempotency',
    {idempotent: false},
    {reason: 'not_repeatable'},
  ],
  ['never for a suspect', {suspect: true}, {reason: 'suspect'}],
  [
    'not with too few measurements',
    {firstTokens: windowOf(5, 5)},
    {reason: 'unmeasured'},
  ],
  ['not too close to the deadline', {remainingMs: 200}, {reason: 'deadline'}],
];

for (const [title, changes, expected] of TABLE) {
  test(`hedge: ${title}`, t => {
    const input = {
      idempotent: true,
      suspect: false,
      remainingMs: 10_000,
      firstTokens: MEASURED,
    };
    t.like(planHedge({...input, ...changes}), expected);
  });
}

test('the quantile covers the latest measurements only', t => {
  const window = new LatencyWindow(32);
  for (let count = 0; count < 32; count++) window.add(10);
  t.is(window.quantile(0.95), 10);
  for (let count = 0; count < 32; count++) window.add(80);
  t.is(window.quantile(0.95), 80);
  t.is(window.count, 32);
});

// All engines are slow at once. Hedging each request would double the load just
// then and delay callers further.
test('hedges stay within the budget and stop while requests wait', t => {
  const budget = new TokenBucket(DEFAULT_HEDGE_BUDGET);
  const input = {firstTokenSeen: false, waitingInCell: 0, budget, nowMs: 0};
  t.like(decideHedge({...input, firstTokenSeen: true}), {reason: 'answered'});
  t.like(decideHedge({...input, waitingInCell: 1}), {reason: 'busy'});
  let hedges = 0;
  for (let count = 0; count < 1000; count++) {
    budget.deposit(0);
    if (decideHedge(input).kind === 'hedge') hedges += 1;
  }
  t.true(hedges >= 50 && hedges <= 55, `${hedges} hedges`);
});
