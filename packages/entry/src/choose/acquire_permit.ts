/** Acquires a permit for a request that may have had earlier attempts. */

import {RequestError} from '@snipestage/errors/request_error.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import type {Permit, PermitRequest, Permits} from './permits.js';

/**
 * Acquires a permit. The verdict of a refusal covers only the refused attempt:
 * `not_run` would be wrong if an earlier attempt may have run, so the verdict
 * is widened to the whole request.
 *
 * @throws RequestError with the verdict over all attempts.
 * @example
 * const permit = await acquirePermit(permits, request, signal, 'not_run');
 */
export async function acquirePermit(
  permits: Permits,
  request: PermitRequest,
  signal: AbortSignal,
  verdictSoFar: Verdict,
): Promise<Permit> {
  try {
    const mayHaveRun = verdictSoFar !== 'not_run';
    return await permits.acquire({...request, mayHaveRun}, signal);
  } catch (error) {
    if (!(error instanceof RequestError)) throw error;
    throw withVerdict(error, verdictSoFar);
  }
}

/**
 * Returns the same refusal with the worse of its verdict and the given one.
 *
 * @example
 * throw withVerdict(error, 'may_have_run');
 */
export function withVerdict(
  error: RequestError,
  verdict: Verdict,
): RequestError {
  const {refusal} = error;
  return new RequestError(refusal.message, {
    code: refusal.code,
    verdict: worseVerdict(verdict, refusal.verdict),
    retryAfterMs: refusal.retryAfterMs,
    cause: error,
  });
}
