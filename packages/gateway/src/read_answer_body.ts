/** Reads the complete body of an answer of an endpoint. */

import type {IncomingMessage} from 'node:http';
import type {EndpointCall} from './endpoint_call.js';

/**
 * @returns undefined when the answer ended before it was complete.
 * @example
 * const body = await readAnswerBody(call, response);
 */
export function readAnswerBody(
  call: EndpointCall,
  response: IncomingMessage,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    let hasEnded = false;
    response.on('end', () => {
      hasEnded = true;
      void call
        .isWhole(response)
        .then(isWhole => resolve(isWhole ? Buffer.concat(chunks) : undefined));
    });
    response.on('error', () => resolve(undefined));
    response.on('close', () => {
      if (!hasEnded) resolve(undefined);
    });
  });
}
