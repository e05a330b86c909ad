/** Turns errors into refusals, and refusals into HTTP responses. */

import type {ServerResponse} from 'node:http';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {RequestId} from '@snipestage/types/ids.js';
import {statusOf, type Refusal} from '@snipestage/types/refusal.js';

const MS_PER_SECOND = 1000;

/** The body of a refusal, as docs/INTERFACES.md specifies it. */
export interface RefusalBody {
  readonly error: {
    readonly message: string;
    readonly type: 'snipestage_refusal';
    readonly code: string;
    readonly verdict: string;
    readonly request_id: string;
    readonly retry_after_ms?: number;
  };
}

/**
 * Builds the body of a refusal.
 *
 * @example
 * response.end(JSON.stringify(refusalBody(refusal, requestId)));
 */
export function refusalBody(refusal: Refusal, id: RequestId): RefusalBody {
  return {
    error: {
      message: refusal.message,
      type: 'snipestage_refusal',
      code: refusal.code,
      verdict: refusal.verdict,
      request_id: id,
      retry_after_ms: refusal.retryAfterMs,
    },
  };
}

/**
 * The refusal for an error. An error that isn't a `RequestError` is an internal
 * fault, after which the request may have run.
 *
 * @example
 * const refusal = refusalOf(error);
 */
export function refusalOf(error: unknown): Refusal {
  if (error instanceof RequestError) return error.refusal;
  return {
    code: 'internal',
    message: 'Something went wrong in the router.',
    verdict: 'may_have_run',
  };
}

/**
 * Sends a refusal as the whole response. Does nothing when a response has begun
 * or its connection is closed.
 *
 * @example
 * sendRefusal(response, refusalOf(error), requestId);
 */
export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  id: RequestId,
): void {
  if (response.headersSent || response.destroyed) return;
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'x-request-id': id,
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.ceil(refusal.retryAfterMs / MS_PER_SECOND);
    headers['retry-after'] = String(Math.max(1, seconds));
  }
  response.writeHead(statusOf(refusal.code), headers);
  response.end(JSON.stringify(refusalBody(refusal, id)));
}
