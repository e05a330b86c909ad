/** Decides whether a failed request gets another attempt. */

import type {RequestClassId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {EndpointErrorKind} from './endpoint_error.js';

/** Input of {@link RetryPolicy.decide}. */
export interface FailedAttempt {
  readonly requestClass: RequestClassId;
  /** The worst verdict of all attempts so far. */
  readonly verdict: Verdict;
  readonly repeatable: boolean;
  readonly attempts: number;
  readonly remainingMs: number;
  readonly cause: EndpointErrorKind;
}

export type RetryDecision =
  | {readonly kind: 'retry'; readonly afterMs: number}
  | {readonly kind: 'stop'; readonly retryAfterMs?: number};

/** Decides on further attempts. */
export abstract class RetryPolicy {
  /** Counts a request towards the budget of its class. */
  abstract countRequest(requestClass: RequestClassId): void;

  abstract decide(failed: FailedAttempt): RetryDecision;
}
