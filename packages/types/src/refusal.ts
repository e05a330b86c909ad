/** Refusals: the answers to requests that are not served. */

import type {Verdict} from './verdict.js';

/** Stable refusal codes; docs/OPERATIONS.md explains each. */
export type RefusalCode =
  | 'invalid_request'
  | 'body_too_large'
  | 'invalid_api_key'
  | 'key_withdrawn'
  | 'request_class_not_allowed'
  | 'model_not_found'
  | 'service_not_found'
  | 'idempotency_conflict'
  | 'idempotency_in_progress'
  | 'idempotency_unavailable'
  | 'outcome_unknown'
  | 'overloaded'
  | 'deadline_unreachable'
  | 'deadline_exceeded'
  | 'suspected_crash'
  | 'no_endpoint'
  | 'endpoint_failed'
  | 'cut_off'
  | 'not_ready'
  | 'shutting_down'
  | 'internal';

/** A refusal as callers receive it. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  readonly verdict: Verdict;
  /** Time after which a retry may succeed; absent if a retry does not help. */
  readonly retryAfterMs?: number;
}

const STATUS: Readonly<Record<RefusalCode, number>> = {
  invalid_request: 400,
  body_too_large: 413,
  invalid_api_key: 401,
  key_withdrawn: 401,
  request_class_not_allowed: 403,
  model_not_found: 404,
  service_not_found: 404,
  idempotency_conflict: 422,
  idempotency_in_progress: 409,
  idempotency_unavailable: 503,
  outcome_unknown: 502,
  overloaded: 429,
  deadline_unreachable: 429,
  deadline_exceeded: 504,
  suspected_crash: 422,
  no_endpoint: 503,
  endpoint_failed: 502,
  cut_off: 503,
  not_ready: 503,
  shutting_down: 503,
  internal: 500,
};

/** All refusal codes. */
export const REFUSAL_CODES = Object.keys(STATUS) as readonly RefusalCode[];

/**
 * The HTTP status of a refusal code (RFC 9110).
 *
 * @example
 * statusOf('overloaded'); // 429
 */
export function statusOf(code: RefusalCode): number {
  return STATUS[code];
}
