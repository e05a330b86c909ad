/**
 * Whether a failed attempt is followed by another. Retries are held to a share
 * of a class's recent requests: when endpoints fail because they are
 * overloaded, unlimited ones would multiply the load that made them fail.
 */

import type {RequestClassId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {RandomSource} from './random_source.js';
import {TokenBucket, type TokenBucketOptions} from './token_bucket.js';

/**
 * How an attempt failed.
 *
 * - `unreachable`: no connection came about.
 * - `broken`: the connection ended before the answer did.
 * - `silent`: nothing came within the time limit.
 * - `refused`: the endpoint answered with an error before doing any work.
 * - `errored`: the endpoint answered with an error.
 * - `mismatched`: the answer was to another request.
 * - `cancelled`: the caller or its withdrawn key ended it.
 */
export type FailureCause =
  | 'unreachable'
  | 'broken'
  | 'silent'
  | 'refused'
  | 'errored'
  | 'mismatched'
  | 'cancelled';

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  /** Over all attempts so far. */
  readonly verdict: Verdict;
  readonly idempotent: boolean;
  /** Attempts made, the failed one included. */
  readonly attempts: number;
  /** Until the request's deadline. */
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
 * A retry goes out on a fresh connection: the pooled one may have gone silent
 * for good, and the second attempt would wait there as the first one did.
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
      /** When the caller may come back; absent where that could run it twice. */
      readonly retryAfterMs?: number;
    };

/** What {@link mayRetry} decides by. */
export interface RetryQuestion extends FailedAttempt {
  readonly budget: TokenBucket;
  readonly nowMs: number;
  readonly random: RandomSource;
  readonly limits?: Partial<RetryLimits>;
}

/** Limits with their defaults in {@link DEFAULT_RETRY_LIMITS}. */
export interface RetryLimits {
  readonly maxAttempts: number;
  /** Less time than this is of no use to another attempt. */
  readonly leastUsefulMs: number;
  readonly firstBackoffMs: number;
  readonly maxBackoffMs: number;
}

/** Three attempts, backing off from 50 ms to 1 s. */
export const DEFAULT_RETRY_LIMITS: RetryLimits = {
  maxAttempts: 3,
  leastUsefulMs: 100,
  firstBackoffMs: 50,
  maxBackoffMs: 1000,
};

const RETRY_AFTER_MS = 1000;

/** After these the next endpoint can be tried at once. */
const WITHOUT_BACKOFF: ReadonlySet<FailureCause> = new Set([
  'unreachable',
  'broken',
  'silent',
  'mismatched',
]);

/**
 * Decides on another attempt, and pays for it from the budget.
 *
 * @example
 * const decision = mayRetry({...failed, budget, nowMs, random});
 * if (decision.kind === 'retry') await sleep(decision.afterMs);
 */
export function mayRetry(question: RetryQuestion): RetryDecision {
  const {verdict, idempotent, cause, budget, nowMs} = question;
  const limits = {...DEFAULT_RETRY_LIMITS, ...question.limits};
  // A booking that may have run would be made twice.
  if (verdict !== 'not_run' && !idempotent) {
    return {kind: 'stop', reason: 'not_repeatable'};
  }
  if (cause === 'cancelled') return {kind: 'stop', reason: 'cancelled'};
  if (question.attempts >= limits.maxAttempts) {
    return stop('too_many_attempts', RETRY_AFTER_MS);
  }
  const afterMs = backoffMs(question, limits);
  if (question.remainingMs < afterMs + limits.leastUsefulMs) {
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

/** Full jitter, so that what failed together doesn't come back together. */
function backoffMs(question: RetryQuestion, limits: RetryLimits): number {
  const {attempts, cause, random} = question;
  if (attempts === 1 && WITHOUT_BACKOFF.has(cause)) return 0;
  const ceilingMs = Math.min(
    limits.firstBackoffMs * 2 ** (attempts - 1),
    limits.maxBackoffMs,
  );
  return Math.round(random() * ceilingMs);
}

/** A tenth of the requests, and a few for a quiet class. */
export const DEFAULT_RETRY_BUDGET: TokenBucketOptions = {
  share: 0.1,
  floorPerSecond: 0.5,
  capacity: 10,
};

/** One budget a request class: a class in trouble leaves the others theirs. */
export class ClassBudgets {
  private readonly buckets = new Map<RequestClassId, TokenBucket>();

  constructor(private readonly options: TokenBucketOptions) {}

  /** Counts a request, which pays a share of an extra attempt. */
  countRequest(requestClass: RequestClassId, nowMs: number): void {
    this.of(requestClass).deposit(nowMs);
  }

  /** The budget of a class, full at first. */
  of(requestClass: RequestClassId): TokenBucket {
    const existing = this.buckets.get(requestClass);
    if (existing !== undefined) return existing;
    const bucket = new TokenBucket(this.options);
    this.buckets.set(requestClass, bucket);
    return bucket;
  }
}
