/** Reads for how long an endpoint that refuses wants no requests. */

import {MAX_BACKOFF_MS} from '@snipestage/types/backoff.js';

const UNAVAILABLE = 503;
const SECOND_MS = 1000;

/**
 * The time in `Retry-After` of a 503, given in seconds or as a date (RFC 9110,
 * section 10.2.3).
 *
 * @returns milliseconds, at most {@link MAX_BACKOFF_MS}; undefined when the endpoint doesn't request backoff.
 * @example
 * const backoffMs = readRetryAfterMs(503, response.headers['retry-after']);
 */
export function readRetryAfterMs(
  status: number,
  retryAfter: string | undefined,
): number | undefined {
  if (status !== UNAVAILABLE || retryAfter === undefined) return undefined;
  if (retryAfter.trim() === '') return undefined;
  const seconds = Number(retryAfter);
  if (Number.isFinite(seconds)) {
    if (seconds < 0) return undefined;
    return Math.min(seconds * SECOND_MS, MAX_BACKOFF_MS);
  }
  const atEpochMs = Date.parse(retryAfter);
  if (Number.isNaN(atEpochMs)) return undefined;
  const leftMs = Math.max(0, atEpochMs - Date.now());
  return Math.min(leftMs, MAX_BACKOFF_MS);
}
