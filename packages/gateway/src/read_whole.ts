/** Reads a whole answer of an endpoint. */

import type {IncomingMessage} from 'node:http';

/**
 * @returns undefined when the answer broke off before its end.
 * @example
 * const body = await readWhole(response);
 */
export function readWhole(
  response: IncomingMessage,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('end', () =>
      resolve(response.complete ? Buffer.concat(chunks) : undefined),
    );
    response.on('error', () => resolve(undefined));
    response.on('close', () => resolve(undefined));
  });
}
