/** Reads the body of a caller's request. */

import type {IncomingMessage} from 'node:http';
import {CollectedBytes} from '@snipestage/connection/collected_bytes.js';
import {ReadFirstTimeout} from '@snipestage/connection/read_first_timeout.js';
import type {HeldMemory} from './memory_guard.js';

/** The body; undefined for a request without one; or why it was not read. */
export type RequestBody =
  Buffer | undefined | 'too_large' | 'broken' | 'no_memory' | 'timed_out';

/** What a body without a stated length reserves at least. */
const RESERVED_AT_ONCE_BYTES = 4096;

/** Options of {@link readRequestBody}. */
export interface ReadRequestBodyOptions {
  readonly maxBytes: number;
  /** Time within which its end has to come. */
  readonly timeoutMs: number;
  /** Counts the body; undefined where no bound is set. */
  readonly held?: HeldMemory;
}

/**
 * Reads the whole body before an endpoint is chosen: an endpoint that answers
 * before it has read the body still gets the rest, and the same bytes can be
 * sent to another endpoint. A stated length is reserved before anything is read.
 *
 * @example
 * const body = await readRequestBody(request, {maxBytes: limits.maxBodyBytes});
 */
export function readRequestBody(
  request: IncomingMessage,
  {maxBytes, timeoutMs, held}: ReadRequestBodyOptions,
): Promise<RequestBody> {
  const {headers} = request;
  const statedLength = headers['content-length'];
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (statedLength === undefined && !isChunked) {
    request.resume();
    return Promise.resolve(undefined);
  }
  let reservedBytes = Math.min(Number(statedLength ?? 0), maxBytes);
  if (held?.tryAdd(reservedBytes) === false) {
    request.resume();
    return Promise.resolve('no_memory');
  }
  return new Promise(resolve => {
    const collected = new CollectedBytes();
    let size = 0;
    /** Chunks may have a byte each. */
    const reserve = (): boolean => {
      const wantedBytes = Math.max(
        size,
        reservedBytes + RESERVED_AT_ONCE_BYTES,
      );
      const bytes = Math.min(maxBytes, wantedBytes) - reservedBytes;
      reservedBytes += bytes;
      return held?.tryAdd(bytes) !== false;
    };
    const giveUp = (reason: 'too_large' | 'no_memory' | 'timed_out') => {
      timeout.cancel();
      resolve(reason);
      request.removeAllListeners('data');
      request.resume();
      collected.take();
    };
    const timeout = new ReadFirstTimeout(() => giveUp('timed_out'), timeoutMs);
    if (held !== undefined) held.onAborted = () => giveUp('no_memory');
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        giveUp('too_large');
      } else if (size > reservedBytes && !reserve()) {
        giveUp('no_memory');
      } else {
        collected.append(chunk);
      }
    });
    request.on('end', () => {
      timeout.cancel();
      resolve(collected.take());
    });
    request.on('error', () => resolve('broken'));
    request.on('close', () => {
      timeout.cancel();
      resolve('broken');
    });
  });
}
