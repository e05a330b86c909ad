/**
 * Decides whether a failed attempt is retried. Retries are limited to a share
 * of a class's recent requests: when endpoints fail because they are
 * overloaded, unlimited retries would multiply the load that made them fail.
 */

import type {RequestClassId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {RandomSource} from './random_source.js';
import {TokenBucket, type TokenBucketOptions} from './token_bucket.js';

/**
 * How an attempt failed.
 *
 * - `unreachable`: no connection was established.
 * - `broken`: the connection ended before the answer did.
 * - `silent`: nothing came within the time limit.
 * - `refused`: the endpoint answered with an error before doing any work.
 * - `errored`: the endpoint answered with an error.
 * - `mismatched`: the answer was to another request.
 * - `withheld`: nothing was sent, as the endpoint had requested backoff.
 * - `cancelled`: the caller ended it, or its key was withdrawn.
 */
export type FailureCause =
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'refused'
  | 'errored'
  | 'mismatched'
  | 'withheld'
  | 'cancelled';

/** A failed attempt, and its request. */
export interface FailedAttempt {
  /** Whether the request has run, over all attempts so far. */
  readonly verdict: Verdict;
  readonly idempotent: boolean;
  /** Attempts made, the failed one included. */
  readonly attempts: number;
  /** Time until the request's deadline. */
  readonly remainingMs: number;
  readonly cause: FailureCause;
}

/** Why no further attempt is made. */
export type StopReason =
  | 'not_repeatable'
  | 'cancelled'
  | 'too_many_attempts'
  | 'deadline'
  | 'budget_spent';

/**
 * A retry goes out on a fresh connection: a pooled one may have gone silent for
 * good, and the second attempt would hang there like the first.
 */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly afterMs: number;
      readonly connection: 'fresh';
    }
  | {
      readonly kind: 'stop';
      readonly reason: StopReason;
      /**
       * When the caller may repeat the request; absent where that could run it
       * twice, after a cancellation and when the budget never refills.
       */
      readonly retryAfterMs?: number;
    };

/** Input of {@link decideRetry}. */
export interface RetryInput extends FailedAttempt {
  readonly budget: TokenBucket;
  readonly nowMs: number;
  readonly random: RandomSource;
  readonly limits?: Partial<RetryLimits>;
}

/** Limits with their defaults in {@link DEFAULT_RETRY_LIMITS}. */
export interface RetryLimits {
  readonly maxAttempts: number;
  /** Time below which another attempt is of no use. */
  readonly minUsefulMs: number;
  readonly firstBackoffMs: number;
  readonly maxBackoffMs: number;
}

/** Three attempts, backing off from 50 ms to 1 s. */
export const DEFAULT_RETRY_LIMITS: RetryLimits = {
  maxAttempts: 3,
  minUsefulMs: 100,
  firstBackoffMs: 50,
  maxBackoffMs: 1000,
};

const RETRY_AFTER_MS = 1000;

/** Causes after which the first retry, at the next endpoint, needs no delay. */
const WITHOUT_BACKOFF: ReadonlySet<FailureCause> = new Set([
  'unreachable',
  'broken',
  'silent',
  'mismatched',
  'withheld',
]);

/**
 * Decides on another attempt, and charges it to the budget.
 *
 * @example
 * const decision = decideRetry({...failed, budget, nowMs, random});
 * if (decision.kind === 'retry') await sleep(decision.afterMs);
 */
export function decideRetry(input: RetryInput): RetryDecision {
  const {verdict, idempotent, cause, budget, nowMs} = input;
  const limits = {...DEFAULT_RETRY_LIMITS, ...input.limits};
  // A request that may have run, such as a booking, could run twice.
  if (verdict !== 'not_run' && !idempotent) {
    return {kind: 'stop', reason: 'not_repeatable'};
  }
  if (cause === 'cancelled') return {kind: 'stop', reason: 'cancelled'};
  if (input.attempts >= limits.maxAttempts) {
    return stop('too_many_attempts', RETRY_AFTER_MS);
  }
  const afterMs = backoffMs(input, limits);
  if (input.remainingMs < afterMs + limits.minUsefulMs) {
    return stop('deadline', RETRY_AFTER_MS);
  }
  const waitMs = budget.waitMs(nowMs);
  if (!budget.spend(nowMs)) {
    return stop('budget_spent', Math.max(RETRY_AFTER_MS, waitMs));
  }
  return {kind: 'retry', afterMs, connection: 'fresh'};
}

function stop(reason: StopReason, retryAfterMs: number): RetryDecision {
  if (!Number.isFinite(retryAfterMs)) return {kind: 'stop', reason};
  return {kind: 'stop', reason, retryAfterMs};
}

/**
 * Full jitter, so that attempts that failed together aren't retried together.
 */
function backoffMs(input: RetryInput, limits: RetryLimits): number {
  const {attempts, cause, random} = input;
  if (attempts === 1 && WITHOUT_BACKOFF.has(cause)) return 0;
  const ceilingMs = Math.min(
    limits.firstBackoffMs * 2 ** (attempts - 1),
    limits.maxBackoffMs,
  );
  return Math.round(random() * ceilingMs);
}

/** A tenth of the requests, and one in 2 s for a class with few requests. */
export const DEFAULT_RETRY_BUDGET: TokenBucketOptions = {
  share: 0.1,
  refillPerSecond: 0.5,
  capacity: 10,
};

/**
 * One budget per request class, so that a failing class can't use up others'.
 */
export class ClassBudgets {
  private readonly buckets = new Map<RequestClassId, TokenBucket>();

  constructor(private readonly options: TokenBucketOptions) {}

  /** Counts a request, which adds a share of an extra attempt to the budget. */
  countRequest(requestClass: RequestClassId, nowMs: number): void {
    this.of(requestClass).deposit(nowMs);
  }

  /** The budget of a class; starts full. */
  of(requestClass: RequestClassId): TokenBucket {
    const existing = this.buckets.get(requestClass);
    if (existing !== undefined) return existing;
    const bucket = new TokenBucket(this.options);
    this.buckets.set(requestClass, bucket);
    return bucket;
  }
}
