/** How long a request may still wait for its first token. */

import type {RequestClass} from '@snipestage/types/configuration.js';

/**
 * The deadline is for the last byte, so the time that the answer itself takes
 * comes off; never below the first token's target while the deadline allows it,
 * or a class with long answers would always be refused.
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
