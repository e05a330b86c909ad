/** Decides whether to retry after a failed attempt. */

import type {Verdict} from '@snipestage/types/verdict.js';
import type {Route} from './route.js';

/** State of a request after a failed attempt. */
export interface FailedAttempt {
  readonly route: Route;
  /** Of the attempt that failed. */
  readonly verdict: Verdict;
  /** Endpoints that may have run the request, this one included. */
  readonly runs: number;
  /** Endpoints that received the request, whether or not they ran it. */
  readonly offers: number;
  /** Endpoints to which no connection could be opened. */
  readonly unreached: number;
  /** Events of a stream that the caller has already received. */
  readonly deliveredEvents: number;
  /** Time until the caller's or the operator's limit. */
  readonly leftMs: number;
  /** Endpoints that have not been tried yet. */
  readonly untried: number;
  /** The endpoint received the request, whether or not it ran it. */
  readonly hasArrived: boolean;
  /** This instance reaches no endpoint, by no path (false). */
  readonly isIsolated?: boolean;
}

/** The next step. */
export type AttemptDecision =
  /** Try another endpoint; where a budget is needed, only if it has room. */
  | {readonly kind: 'retry'; readonly needsBudget: boolean}
  | {readonly kind: 'give_up'};

/** More offers than this only add load when everything is full. */
const MAX_OFFERS = 4;
/**
 * Endpoints that may be found unreachable by one request. A refused connection
 * takes a round trip and costs the endpoint nothing.
 */
const MAX_UNREACHED = 12;
/** With less time left than this no further endpoint is tried. */
const MIN_REMAINING_MS = 30;

/**
 * Whether another endpoint may be tried.
 *
 * A request that certainly did not run may go to another endpoint. One that may
 * have run goes on only if it may be repeated, or is a stream that can be
 * resumed after its last event.
 *
 * @example
 * const next = decideAfterFailure(failed);
 */
export function decideAfterFailure(failed: FailedAttempt): AttemptDecision {
  const {route, verdict, runs, hasArrived} = failed;
  if (isExhausted(failed)) return {kind: 'give_up'};
  const mayRun = mayRunAgain(route) && runs < route.maxAttempts;
  if (verdict !== 'not_run' && !mayRun) return {kind: 'give_up'};
  // An endpoint that rejects a request has spent work on it all the same. When
  // many endpoints are replaced at once, most addresses belong to a different
  // endpoint by now, which rejects the request; outside the budget, these
  // retries alone would add half to a service's traffic. Without a connection
  // nothing has arrived, so the endpoint has spent nothing.
  return {kind: 'retry', needsBudget: hasArrived};
}

function isExhausted(failed: FailedAttempt): boolean {
  const {offers, unreached, leftMs, untried, isIsolated = false} = failed;
  return (
    isIsolated ||
    untried === 0 ||
    offers >= MAX_OFFERS ||
    unreached >= MAX_UNREACHED ||
    leftMs < MIN_REMAINING_MS
  );
}

/** Whether a request of the route may run more than once. */
export function mayRunAgain(route: Route): boolean {
  return (
    route.kind === 'idempotent' ||
    (route.kind === 'stream' && route.isResumable)
  );
}

/** The final answer to a request that no endpoint answered. */
export interface OwnFailure {
  readonly status: 502 | 503 | 504;
  /** Only where the request certainly has not run. */
  readonly retryAfterMs: number | undefined;
}

/**
 * The status of the final answer: 503 guarantees that the request has not run
 * and never will; 502 and 504 guarantee nothing.
 *
 * @param verdict the worst over all attempts.
 * @example
 * const {status} = failureFor('may_have_run', {timedOut: false, retryAfterMs});
 */
export function failureFor(
  verdict: Verdict,
  why: {readonly timedOut: boolean; readonly retryAfterMs: number},
): OwnFailure {
  if (verdict === 'not_run') {
    return {status: 503, retryAfterMs: why.retryAfterMs};
  }
  return {status: why.timedOut ? 504 : 502, retryAfterMs: undefined};
}
