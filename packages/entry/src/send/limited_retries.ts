/** A fixed number of attempts. */

import {
  RetryPolicy,
  type FailedAttempt,
  type RetryDecision,
} from './retry_policy.js';

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1000;

/** Repeats what may be repeated, up to three attempts. */
export class LimitedRetries extends RetryPolicy {
  countRequest(): void {}

  decide(failed: FailedAttempt): RetryDecision {
    const isSafe = failed.verdict === 'not_run' || failed.repeatable;
    const hasTime = failed.remainingMs > 0;
    if (isSafe && hasTime && failed.attempts < MAX_ATTEMPTS) {
      return {kind: 'retry', afterMs: 0};
    }
    return {kind: 'stop', retryAfterMs: isSafe ? RETRY_AFTER_MS : undefined};
  }
}
