/** Reads for how long an endpoint that refuses wants no requests. */

const UNAVAILABLE = 503;
const SECOND_MS = 1000;

/**
 * The time in `Retry-After` of a 503, given in seconds or as a date (RFC 9110,
 * section 10.2.3).
 *
 * @returns milliseconds; undefined when the endpoint doesn't request backoff.
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
    return seconds >= 0 ? seconds * SECOND_MS : undefined;
  }
  const atEpochMs = Date.parse(retryAfter);
  if (Number.isNaN(atEpochMs)) return undefined;
  return Math.max(0, atEpochMs - Date.now());
}
