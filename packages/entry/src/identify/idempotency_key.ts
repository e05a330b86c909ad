/** The `Idempotency-Key` header. */

import type {IncomingHttpHeaders} from 'node:http';

/**
 * The key with which a caller marks repetitions of one request (IETF draft "The
 * Idempotency-Key HTTP Header Field"); `undefined` without that header.
 *
 * @example
 * idempotencyKeyOf({'idempotency-key': 'booking-17'}); // 'booking-17'
 */
export function idempotencyKeyOf(
  headers: IncomingHttpHeaders,
): string | undefined {
  const value = headers['idempotency-key'];
  return Array.isArray(value) ? value[0] : value;
}
