/** Reads the body of a caller's request. */

import type {IncomingMessage} from 'node:http';

/** The body; undefined for a request without one; or why it was not read. */
export type RequestBody = Buffer | undefined | 'too_large' | 'broken';

/**
 * Reads the whole body before an endpoint is chosen: an endpoint that answers
 * before it has read the body still gets the rest, and the same bytes can be
 * sent to another endpoint.
 *
 * @example
 * const body = await readRequestBody(request, limits.maxBodyBytes);
 */
export function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<RequestBody> {
  const {headers} = request;
  const hasBody =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (!hasBody) {
    request.resume();
    return Promise.resolve(undefined);
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        resolve('too_large');
        request.removeAllListeners('data');
        request.resume();
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', () => resolve('broken'));
    request.on('close', () => resolve('broken'));
  });
}
