/** Computes how long a request may still wait for its first token. */

import type {RequestClass} from '@snipestage/types/configuration.js';

/**
 * Time left for the first token. The deadline applies to the last byte, so the
 * expected duration of the answer is subtracted. The result is at least the
 * target for the first token, unless less time is left until the deadline;
 * otherwise a class with long answers would always be refused.
 *
 * @example
 * timeToStartMs(requestClass, {elapsedMs: 200, expectedTokens: 50});
 */
export function timeToStartMs(
  requestClass: RequestClass,
  request: {readonly elapsedMs: number; readonly expectedTokens: number},
): number {
  const {deadlineMs, betweenTokensTargetMs, firstTokenTargetMs} = requestClass;
  const leftMs = deadlineMs - request.elapsedMs;
  const answerMs = request.expectedTokens * betweenTokensTargetMs;
  return Math.min(leftMs, Math.max(leftMs - answerMs, firstTokenTargetMs));
}
