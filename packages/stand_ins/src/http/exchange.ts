/** Reads requests and writes JSON responses. */

import type {IncomingMessage, ServerResponse} from 'node:http';

/** Thrown for a body that is not valid JSON. */
export class BadBodyError extends Error {}

/**
 * Reads a body to its end.
 *
 * @example
 * const bytes = await readBody(request);
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/**
 * Parses a JSON body; an empty one is `{}`.
 *
 * @throws BadBodyError when it is not valid JSON.
 * @example
 * const {keys} = parseJson<{keys: string[]}>(body);
 */
export function parseJson<T>(body: Buffer): T {
  const text = body.toString('utf8');
  try {
    return JSON.parse(text === '' ? '{}' : text) as T;
  } catch (cause) {
    throw new BadBodyError('The body is no JSON.', {cause});
  }
}

/**
 * Sends a JSON response, unless the response has ended or its connection has
 * closed.
 *
 * @example
 * sendJson(response, 409, {reason: 'superseded'});
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.writableEnded || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * Returns a request header, the first value if it has several; `undefined` when
 * it is absent.
 *
 * @example
 * const id = headerOf(request, 'x-request-id');
 */
export function headerOf(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
