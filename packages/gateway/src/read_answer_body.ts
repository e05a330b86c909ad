/** Reads the complete body of an answer of an endpoint. */

import type {IncomingMessage} from 'node:http';
import {
  framingOf,
  isPartialDocument,
} from '@snipestage/connection/answer_end.js';
import {MAX_ANSWER_BYTES} from '@snipestage/connection/answer_limits.js';
import {CollectedBytes} from '@snipestage/connection/collected_bytes.js';
import type {EndpointCall} from './endpoint_call.js';

/**
 * - `broken`: the answer ended before it was complete.
 * - `too_long`: it exceeds {@link MAX_ANSWER_BYTES}; the rest wasn't read.
 */
export type AnswerBody = Buffer | 'broken' | 'too_long';

/**
 * @param onBytes called with the number of bytes held, whenever it grows.
 * @example
 * const body = await readAnswerBody(call, response, () => undefined);
 * if (body === 'broken') return brokenAnswer();
 */
export function readAnswerBody(
  call: EndpointCall,
  response: IncomingMessage,
  onBytes: (bytes: number) => void,
): Promise<AnswerBody> {
  return new Promise((resolve, reject) => {
    const collected = new CollectedBytes();
    response.on('data', (chunk: Buffer) => {
      if (collected.length + chunk.length > MAX_ANSWER_BYTES) {
        response.pause();
        collected.discard();
        resolve('too_long');
        return;
      }
      const before = collected.blockBytes;
      collected.append(chunk);
      if (collected.blockBytes > before) onBytes(collected.blockBytes);
    });
    let hasEnded = false;
    response.on('end', () => {
      hasEnded = true;
      const body = collected.take();
      void isWhole(call, response, body).then(
        isWhole => resolve(isWhole ? body : 'broken'),
        reject,
      );
    });
    response.on('error', () => resolve('broken'));
    response.on('close', () => {
      if (hasEnded) return;
      collected.discard();
      resolve('broken');
    });
  });
}

async function isWhole(
  call: EndpointCall,
  response: IncomingMessage,
  body: Buffer,
): Promise<boolean> {
  const {headers} = response;
  // Only what has neither length nor chunks is judged by its content.
  const isPartial =
    framingOf(headers) === 'close' &&
    isPartialDocument(headers['content-type'], body);
  return call.isWhole(response, {kind: 'document', isPartial});
}
