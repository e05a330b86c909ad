/** What a failed attempt shows of its endpoint and of the request. */

import type {Verdict} from '@snipestage/types/verdict.js';
import type {CallFailureReason} from './endpoint_call.js';
import type {FailedResult} from './exchange_context.js';

/** Failures that aren't the endpoint's. */
const SAYS_NOTHING_OF_ENDPOINT: ReadonlySet<CallFailureReason> = new Set([
  'cancelled',
  'withheld',
  'isolated',
  'path_broken',
]);

/** An answer to another request, or one without proof. */
export const FOREIGN_ANSWER: FailedResult = {
  kind: 'failed',
  verdict: 'ran',
  endpointOutcome: 'failed',
  reason: 'foreign_answer',
  hasArrived: true,
};

/** An answer whose head breaks the protocol; nothing in it is believed. */
export const MALFORMED_HEAD: FailedResult = {
  ...FOREIGN_ANSWER,
  reason: 'malformed_head',
};

/** An answer that isn't read any further, as it exceeds a bound. */
export const OVERSIZED_ANSWER: FailedResult = {
  ...FOREIGN_ANSWER,
  reason: 'oversized_answer',
};

/** A stream that isn't read any further, as what comes is no event. */
export const NO_EVENT_STREAM: FailedResult = {
  ...FOREIGN_ANSWER,
  reason: 'no_event',
};

/** A call that ended before the head of an answer. */
export interface EndWithoutHead {
  readonly reason: CallFailureReason;
  readonly verdict: Verdict;
  /** Whether it was cancelled as the endpoint was silent. */
  readonly wasSilent: boolean;
}

/**
 * The result of an attempt without an answer.
 *
 * @example
 * const result = failedWithoutHead({reason, verdict, wasSilent: false});
 */
export function failedWithoutHead(end: EndWithoutHead): FailedResult {
  const {reason, verdict, wasSilent} = end;
  const hasArrived = verdict !== 'not_run';
  if (wasSilent) {
    // If cancelled before the connection was established, the endpoint was
    // unreachable, not silent.
    return {
      kind: 'failed',
      verdict,
      endpointOutcome: hasArrived ? 'silent' : 'unreachable',
      reason: hasArrived ? 'silent' : 'connect_timeout',
      hasArrived,
    };
  }
  const failed = {kind: 'failed', verdict, reason, hasArrived} as const;
  if (SAYS_NOTHING_OF_ENDPOINT.has(reason)) {
    return {...failed, endpointOutcome: undefined};
  }
  // The endpoint did not break the connection: this side has closed it.
  if (reason === 'unread') return {...failed, endpointOutcome: 'silent'};
  const connectionBroke = reason === 'broken';
  return {
    ...failed,
    endpointOutcome: connectionBroke ? 'failed' : 'unreachable',
    connectionBroke,
  };
}

/** How an answer ended that isn't complete. */
export interface BrokenEnd {
  readonly hasPathBroken: boolean;
  /** Whether the attempt was cancelled as the endpoint was silent. */
  readonly wasSilent: boolean;
  /** Whether the endpoint has been silent for too long. */
  readonly isSilent: boolean;
  readonly isCancelled: boolean;
  /** Whether the request's time is over. */
  readonly isLate: boolean;
}

/**
 * Result of an answer that ended early. If this side cancelled it, because the
 * caller disconnected or this instance ends, it doesn't count against the
 * endpoint: otherwise many callers that give up at once would divert traffic
 * from healthy endpoints, and mark requests as ones that crash endpoints. It
 * does count if the stream had gone silent before, or if the answer isn't
 * complete by the request's deadline.
 *
 * @example
 * const result = failedWithBrokenAnswer(end);
 */
export function failedWithBrokenAnswer(end: BrokenEnd): FailedResult {
  const {hasPathBroken, wasSilent, isSilent, isCancelled, isLate} = end;
  const failed = {kind: 'failed', verdict: 'ran', hasArrived: true} as const;
  if (hasPathBroken) {
    return {...failed, endpointOutcome: undefined, reason: 'path_broken'};
  }
  if (wasSilent) {
    return {...failed, endpointOutcome: 'silent', reason: 'silent'};
  }
  const connectionBroke = !isCancelled;
  if (connectionBroke || isLate) {
    const outcome = {endpointOutcome: 'failed', reason: 'broken'} as const;
    return {...failed, ...outcome, connectionBroke};
  }
  const endpointOutcome = isSilent ? 'silent' : undefined;
  return {...failed, endpointOutcome, reason: 'cancelled'};
}
