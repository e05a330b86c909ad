/** Reads a request's body up to a limit. */

import type {IncomingMessage} from 'node:http';
import {RequestError} from '@snipestage/errors/request_error.js';

/**
 * Collects the body, and gives up when the signal aborts: otherwise a caller
 * that stops sending midway would hold the request open for minutes, even after
 * its key is withdrawn and past the grace time of a stop.
 *
 * @throws RequestError `body_too_large` past the limit, `invalid_request` when
 * the body ends early, and when the signal aborts its reason if that is a
 * `RequestError`, otherwise `invalid_request`; verdict `not_run`.
 * @example
 * const body = await readBody(request, 1_048_576, signal);
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
  signal?: AbortSignal,
): Promise<Buffer> {
  const body = collect(request, maxBytes);
  if (signal === undefined) return body;
  return Promise.race([body, rejectWhenAborted(signal)]);
}

async function collect(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) throw tooLarge(maxBytes);
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of request) {
      bytes += (part as Buffer).length;
      if (bytes > maxBytes) throw tooLarge(maxBytes);
      parts.push(part as Buffer);
    }
  } catch (error) {
    if (error instanceof RequestError) throw error;
    throw endedEarly(error);
  }
  return Buffer.concat(parts);
}

/**
 * Parses a body as a JSON object.
 *
 * @throws RequestError `invalid_request`, verdict `not_run`.
 * @example
 * const body = parseJsonObject(Buffer.from('{"model":"repair"}'));
 */
export function parseJsonObject(body: Buffer): Record<string, unknown> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(body.toString('utf8'));
  } catch (cause) {
    throw new RequestError('The body is not JSON.', {
      code: 'invalid_request',
      verdict: 'not_run',
      cause,
    });
  }
  if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) {
    throw new RequestError('The body is not a JSON object.', {
      code: 'invalid_request',
      verdict: 'not_run',
    });
  }
  return parsed as Record<string, unknown>;
}

function rejectWhenAborted(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const fail = () => {
      const reason: unknown = signal.reason;
      reject(reason instanceof RequestError ? reason : endedEarly(reason));
    };
    if (signal.aborted) fail();
    else signal.addEventListener('abort', fail, {once: true});
  });
}

function endedEarly(cause: unknown): RequestError {
  return new RequestError('The body ended before it was whole.', {
    code: 'invalid_request',
    verdict: 'not_run',
    cause,
  });
}

function tooLarge(maxBytes: number): RequestError {
  return new RequestError(`The body is larger than ${maxBytes} bytes.`, {
    code: 'body_too_large',
    verdict: 'not_run',
  });
}
