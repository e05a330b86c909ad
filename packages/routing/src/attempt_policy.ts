/** What to do after an attempt has failed. */

import type {Verdict} from '@snipestage/types/verdict.js';
import type {Route} from './route.js';

/** Where a request stands after a failed attempt. */
export interface FailedAttempt {
  readonly route: Route;
  /** Of the attempt that failed. */
  readonly verdict: Verdict;
  /** Endpoints that may have run the request, this one included. */
  readonly runs: number;
  /** Endpoints that got the request, whatever they made of it. */
  readonly offers: number;
  /** Endpoints to which no connection could be opened. */
  readonly unreached: number;
  /** Events of a stream that the caller has already. */
  readonly deliveredEvents: number;
  /** Until the caller or the operator's limit gives up. */
  readonly leftMs: number;
  /** Endpoints that have not been asked yet. */
  readonly untried: number;
  /** The endpoint got the request, whatever it made of it. */
  readonly hasArrived: boolean;
}

/** The next step. */
export type AttemptDecision =
  /** Ask another endpoint, if the budget has room where it is needed. */
  | {readonly kind: 'retry'; readonly needsBudget: boolean}
  | {readonly kind: 'give_up'};

/** More offers than this only add load when everything is full. */
const MAX_OFFERS = 4;
/**
 * Endpoints that may be found unreachable by one request. A refused connection
 * takes a round trip and costs the endpoint nothing.
 */
const MAX_UNREACHED = 12;
/** Less time than this is no offer to an endpoint. */
const MIN_LEFT_MS = 30;

/**
 * Whether another endpoint may be asked.
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
  // An endpoint that turns a request away has spent work on it all the same.
  // Where many are replaced at once most answer that they are others by now;
  // left out of the budget, these alone make a service's traffic half as much
  // again. Without a connection nothing has arrived, and nothing is spent.
  return {kind: 'retry', needsBudget: hasArrived};
}

function isExhausted(failed: FailedAttempt): boolean {
  const {offers, unreached, leftMs, untried} = failed;
  return (
    untried === 0 ||
    offers >= MAX_OFFERS ||
    unreached >= MAX_UNREACHED ||
    leftMs < MIN_LEFT_MS
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
 * The status that tells the truth: 503 promises that the request has not run
 * and never will, 502 and 504 promise nothing.
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
