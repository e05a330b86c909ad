/** Derives the result of a simulated request from its attempt. */

import type {RequestResult} from './attainment.js';
import type {EngineAttempt} from './simulated_engine.js';
import type {Arrival} from './workload.js';

/** Times that a release reports; absent where too few tokens were produced. */
export interface AttemptTimes {
  /** From the submission to the engine. */
  readonly firstTokenMs?: number;
  /** Mean over the tokens after the first. */
  readonly betweenTokensMs?: number;
}

/**
 * @example
 * const {firstTokenMs, betweenTokensMs} = measureAttempt(attempt);
 */
export function measureAttempt(attempt: EngineAttempt): AttemptTimes {
  if (attempt.firstTokenAtMs === undefined) return {};
  const firstTokenMs = attempt.firstTokenAtMs - attempt.submittedAtMs;
  if (attempt.produced < 2) return {firstTokenMs};
  const spanMs = attempt.lastTokenAtMs! - attempt.firstTokenAtMs;
  return {firstTokenMs, betweenTokensMs: spanMs / (attempt.produced - 1)};
}

/**
 * The result of a request whose attempt ran to its end, with times measured
 * from the request's arrival.
 *
 * @example
 * results.push(describeServed(arrival, attempt));
 */
export function describeServed(
  arrival: Arrival,
  attempt: EngineAttempt,
): RequestResult {
  return {
    arrival,
    outcome: 'served',
    firstTokenMs: attempt.firstTokenAtMs! - arrival.atMs,
    betweenTokensMs: measureAttempt(attempt).betweenTokensMs,
    totalMs: attempt.lastTokenAtMs! - arrival.atMs,
    producedTokens: attempt.produced,
  };
}

/**
 * The result of any other request.
 *
 * @example
 * results.push(describeUnserved(arrival, 'refused'));
 */
export function describeUnserved(
  arrival: Arrival,
  outcome: 'refused' | 'unfinished',
  producedTokens = 0,
): RequestResult {
  return {arrival, outcome, producedTokens};
}
