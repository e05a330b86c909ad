/** Reads requests and writes JSON answers. */

import type {IncomingMessage, ServerResponse} from 'node:http';

/** A body that is no JSON. */
export class BadBodyError extends Error {}

/**
 * Reads a body whole.
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
 * @throws BadBodyError when it is no JSON.
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
 * Ends the exchange with a JSON body.
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
 * A request header as one string; absent as `undefined`.
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
