/** How long an attempt may take to start, and pauses between attempts. */

import type {RequestClass} from '@snipestage/types/configuration.js';

const SLOWEST_FIRST_TOKEN_FACTOR = 10;
const MIN_FIRST_TOKEN_TIMEOUT_MS = 5000;

/**
 * An engine that is silent for longer counts as failed.
 *
 * @example
 * const timeoutMs = firstTokenTimeoutMs(requestClass);
 */
export function firstTokenTimeoutMs(requestClass: RequestClass): number {
  return Math.max(
    MIN_FIRST_TOKEN_TIMEOUT_MS,
    requestClass.firstTokenTargetMs * SLOWEST_FIRST_TOKEN_FACTOR,
  );
}

/**
 * Resolves after the time, or as soon as the signal aborts.
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
