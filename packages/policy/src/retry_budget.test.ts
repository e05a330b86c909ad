import type {RequestClassId} from '@snipestage/types/ids.js';
import {brandAs} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import test from 'ava';
import fc from 'fast-check';
import {createSeededRandom} from './random_source.js';
import {
  ClassBudgets,
  DEFAULT_RETRY_BUDGET,
  mayRetry,
  type FailureCause,
  type RetryQuestion,
} from './retry_budget.js';
import {TokenBucket} from './token_bucket.js';

const SEED = 20_261_202;

function question(changes: Partial<RetryQuestion>): RetryQuestion {
  return {
    verdict: 'may_have_run',
    idempotent: true,
    attempts: 1,
    remainingMs: 10_000,
    cause: 'broken',
    budget: new TokenBucket(DEFAULT_RETRY_BUDGET),
    nowMs: 0,
    random: () => 0.5,
    ...changes,
  };
}

const TABLE: ReadonlyArray<[string, Partial<RetryQuestion>, object]> = [
  ['idempotent, broken', {}, {kind: 'retry', afterMs: 0}],
  ['second try backs off', {attempts: 2}, {kind: 'retry', afterMs: 50}],
  ['refused backs off', {cause: 'refused'}, {kind: 'retry', afterMs: 25}],
  [
    'a booking that was not sent',
    {idempotent: false, verdict: 'not_run', cause: 'unreachable'},
    {kind: 'retry', afterMs: 0},
  ],
  [
    'a booking that may have run',
    {idempotent: false},
    {kind: 'stop', reason: 'not_repeatable', retryAfterMs: undefined},
  ],
  [
    'a booking that ran',
    {idempotent: false, verdict: 'ran'},
    {kind: 'stop', reason: 'not_repeatable', retryAfterMs: undefined},
  ],
  ['hung up', {cause: 'cancelled'}, {kind: 'stop', reason: 'cancelled'}],
  ['third failure', {attempts: 3}, {kind: 'stop', reason: 'too_many_attempts'}],
  ['no time left', {remainingMs: 99}, {kind: 'stop', reason: 'deadline'}],
];

for (const [title, changes, expected] of TABLE) {
  test(`retry: ${title}`, t => {
    t.like(mayRetry(question(changes)), expected);
  });
}

// Every endpoint fails because all are overloaded. If each failure came back as
// another attempt, callers would see the outage last for as long as they call.
test('an outage is met with a tenth more attempts, not with many times', t => {
  const budgets = new ClassBudgets(DEFAULT_RETRY_BUDGET);
  const counter = brandAs<RequestClassId>('counter');
  let retries = 0;
  for (let nowMs = 0; nowMs < 100_000; nowMs += 10) {
    budgets.countRequest(counter, nowMs);
    const budget = budgets.of(counter);
    const decision = mayRetry(question({budget, nowMs, cause: 'errored'}));
    if (decision.kind === 'retry') retries += 1;
  }
  // 10,000 requests, 100 s of floor and what was kept at the start.
  t.true(retries >= 1000 && retries <= 1000 + 50 + 10, `${retries} retries`);
  const quotes = budgets.of(brandAs<RequestClassId>('quotes'));
  t.is(quotes.waitMs(100_000), 0);
});

test('a spent budget says when to come back', t => {
  const budget = new TokenBucket({share: 0, floorPerSecond: 0.5, capacity: 1});
  t.is(mayRetry(question({budget})).kind, 'retry');
  t.like(mayRetry(question({budget})), {
    reason: 'budget_spent',
    retryAfterMs: 2000,
  });
  t.is(mayRetry(question({budget, nowMs: 2000})).kind, 'retry');
});

test('whatever happens, no request that may not be repeated is', t => {
  const causes: FailureCause[] = ['unreachable', 'broken', 'silent', 'errored'];
  const verdicts: Verdict[] = ['not_run', 'may_have_run', 'ran'];
  const property = fc.property(
    fc.constantFrom(...verdicts),
    fc.constantFrom(...causes),
    fc.integer({min: 1, max: 5}),
    fc.integer({min: -100, max: 20_000}),
    fc.integer(),
    (verdict, cause, attempts, remainingMs, seed) => {
      const decision = mayRetry(
        question({
          verdict,
          cause,
          attempts,
          remainingMs,
          idempotent: false,
          random: createSeededRandom(seed),
        }),
      );
      if (decision.kind === 'stop') return true;
      return verdict === 'not_run' && decision.afterMs < remainingMs;
    },
  );
  t.notThrows(() => fc.assert(property, {seed: SEED}));
});
