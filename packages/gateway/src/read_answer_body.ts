/** Reads the complete body of an answer of an endpoint. */

import type {IncomingMessage} from 'node:http';
import {isPartialDocument} from '@snipestage/connection/answer_end.js';
import type {EndpointCall} from './endpoint_call.js';

/**
 * @param onBytes called with the number of bytes read so far.
 * @returns undefined when the answer ended before it was complete.
 * @example
 * const body = await readAnswerBody(call, response, () => undefined);
 */
export function readAnswerBody(
  call: EndpointCall,
  response: IncomingMessage,
  onBytes: (bytes: number) => void,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      onBytes(size);
    });
    let hasEnded = false;
    response.on('end', () => {
      hasEnded = true;
      const body = Buffer.concat(chunks);
      const contentType = response.headers['content-type'];
      const isPartial = isPartialDocument(contentType, body);
      void call
        .isWhole(response, {kind: 'document', isPartial})
        .then(isWhole => resolve(isWhole ? body : undefined));
    });
    response.on('error', () => resolve(undefined));
    response.on('close', () => {
      if (!hasEnded) resolve(undefined);
    });
  });
}
