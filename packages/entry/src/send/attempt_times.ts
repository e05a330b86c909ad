/** First-token timeout of attempts, and the delay between them. */

import type {RequestClass} from '@snipestage/types/configuration.js';

const FIRST_TOKEN_TIMEOUT_FACTOR = 10;
const MIN_FIRST_TOKEN_TIMEOUT_MS = 5000;

/**
 * Time after which an engine that has sent no token counts as failed.
 *
 * @example
 * const timeoutMs = firstTokenTimeoutMs(requestClass);
 */
export function firstTokenTimeoutMs(requestClass: RequestClass): number {
  return Math.max(
    MIN_FIRST_TOKEN_TIMEOUT_MS,
    requestClass.firstTokenTargetMs * FIRST_TOKEN_TIMEOUT_FACTOR,
  );
}

/**
 * Resolves after the time, or earlier when the signal aborts meanwhile.
 *
 * @example
 * await delay(decision.afterMs, work.signal);
 */
export function delay(ms: number, signal: AbortSignal): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise(resolve => {
    const timer = setTimeout(resolve, ms);
    const stop = () => {
      clearTimeout(timer);
      resolve();
    };
    signal.addEventListener('abort', stop, {once: true});
  });
}
