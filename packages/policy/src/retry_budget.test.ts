import type {RequestClassId} from '@snipestage/types/ids.js';
import {brandAs} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import test from 'ava';
import fc from 'fast-check';
import {createSeededRandom} from './random_source.js';
import {
  ClassBudgets,
  DEFAULT_RETRY_BUDGET,
  decideRetry,
  type FailureCause,
  type RetryInput,
} from './retry_budget.js';
import {TokenBucket} from './token_bucket.js';

const SEED = 20_261_202;

function retryInput(changes: Partial<RetryInput>): RetryInput {
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

const TABLE: ReadonlyArray<[string, Partial<RetryInput>, object]> = [
  ['idempotent, connection broken', {}, {kind: 'retry', afterMs: 0}],
  ['second attempt backs off', {attempts: 2}, {kind: 'retry', afterMs: 50}],
  ['refused backs off', {cause: 'refused'}, {kind: 'retry', afterMs: 25}],
  [
    'not idempotent, not sent',
    {idempotent: false, verdict: 'not_run', cause: 'unreachable'},
    {kind: 'retry', afterMs: 0},
  ],
  [
    'not idempotent, may have run',
    {idempotent: false},
    {kind: 'stop', reason: 'not_repeatable', retryAfterMs: undefined},
  ],
  [
    'not idempotent, ran',
    {idempotent: false, verdict: 'ran'},
    {kind: 'stop', reason: 'not_repeatable', retryAfterMs: undefined},
  ],
  [
    'cancelled by the caller',
    {cause: 'cancelled'},
    {kind: 'stop', reason: 'cancelled'},
  ],
  [
    'third attempt failed',
    {attempts: 3},
    {kind: 'stop', reason: 'too_many_attempts'},
  ],
  ['no time left', {remainingMs: 99}, {kind: 'stop', reason: 'deadline'}],
];

for (const [title, changes, expected] of TABLE) {
  test(`retry: ${title}`, t => {
    t.like(decideRetry(retryInput(changes)), expected);
  });
}

// Every endpoint fails from overload. If each failure caused another attempt,
// the retries would keep up the overload for as long as callers send requests.
test('in an outage retries add a tenth of the attempts, not a multiple', t => {
  const budgets = new ClassBudgets(DEFAULT_RETRY_BUDGET);
  const counter = brandAs<RequestClassId>('counter');
  let retries = 0;
  for (let nowMs = 0; nowMs < 100_000; nowMs += 10) {
    budgets.countRequest(counter, nowMs);
    const budget = budgets.of(counter);
    const decision = decideRetry(retryInput({budget, nowMs, cause: 'errored'}));
    if (decision.kind === 'retry') retries += 1;
  }
  // A tenth of 10,000 requests, 100 s of refill, and the full budget at the
  // start.
  t.true(retries >= 1000 && retries <= 1000 + 50 + 10, `${retries} retries`);
  const quotes = budgets.of(brandAs<RequestClassId>('quotes'));
  t.is(quotes.waitMs(100_000), 0);
});

test('a spent budget states when to retry', t => {
  const budget = new TokenBucket({share: 0, refillPerSecond: 0.5, capacity: 1});
  t.is(decideRetry(retryInput({budget})).kind, 'retry');
  t.like(decideRetry(retryInput({budget})), {
    reason: 'budget_spent',
    retryAfterMs: 2000,
  });
  t.is(decideRetry(retryInput({budget, nowMs: 2000})).kind, 'retry');
});

test('a request that is not idempotent is retried only if it has not run', t => {
  const causes: FailureCause[] = ['unreachable', 'broken', 'silent', 'errored'];
  const verdicts: Verdict[] = ['not_run', 'may_have_run', 'ran'];
  const property = fc.property(
    fc.constantFrom(...verdicts),
    fc.constantFrom(...causes),
    fc.integer({min: 1, max: 5}),
    fc.integer({min: -100, max: 20_000}),
    fc.integer(),
    (verdict, cause, attempts, remainingMs, seed) => {
      const decision = decideRetry(
        retryInput({
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
