/** Calls engines to copy the memory of requests, and to free copies. */

import {request as httpRequest, type IncomingMessage} from 'node:http';
import {INPUT_PACER} from '@snipestage/connection/input_pacer.js';
import {resolveWithin} from '@snipestage/connection/read_first_timeout.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {EndpointConnection} from '../endpoint_connection.js';
import type {EndpointConnector} from '../endpoint_connector.js';
import type {
  EngineCall,
  MemoryCopyAnswer,
  MemoryCopyRequest,
  MemoryHandle,
  PassThroughProtocol,
} from '../pass_through_protocol.js';

/** Options of {@link MemoryClient}. */
export interface MemoryClientOptions {
  readonly connector: Pick<EndpointConnector, 'open'>;
  readonly protocol: Pick<
    PassThroughProtocol,
    'composeMemoryCopy' | 'readMemoryCopy' | 'composeRelease'
  >;
  /** Of a new connection to an engine. */
  readonly connectTimeout: {readonly timeoutMs: number};
}

/**
 * The answer of the engine, or why there is none.
 *
 * - `not_sent`: the engine has not got the call.
 * - `lost`: it may have got it; what it did isn't known.
 */
export type MemoryCopyResult =
  MemoryCopyAnswer | {readonly kind: 'not_sent'} | {readonly kind: 'lost'};

const MAX_BODY_BYTES = 64 * 1024;
const RELEASE_TIMEOUT_MS = 1000;

interface RawAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Makes each call on a fresh connection and never repeats it. */
export class MemoryClient {
  constructor(private readonly options: MemoryClientOptions) {}

  /**
   * Copies memory; resolves when the copy is complete or has failed.
   *
   * @example
   * const result = await client.copy(request, {timeoutMs: 800});
   */
  async copy(
    request: MemoryCopyRequest,
    {timeoutMs}: {readonly timeoutMs: number},
  ): Promise<MemoryCopyResult> {
    const {protocol} = this.options;
    const call = protocol.composeMemoryCopy(request);
    const answer = await this.call(request.source, call, timeoutMs);
    if (answer === 'not_sent' || answer === 'lost') return {kind: answer};
    return protocol.readMemoryCopy(answer.status, answer.body);
  }

  /**
   * Frees a copy at both engines. If that fails, they free it themselves once
   * the handle has expired.
   *
   * @returns whether the engine has answered that it is free.
   * @example
   * await client.release(source, handle);
   */
  async release(
    source: ServingEndpoint,
    handle: MemoryHandle,
  ): Promise<boolean> {
    const call = this.options.protocol.composeRelease(source, handle);
    const answer = await this.call(source, call, RELEASE_TIMEOUT_MS);
    if (answer === 'not_sent' || answer === 'lost') return false;
    return answer.status >= 200 && answer.status < 300;
  }

  private async call(
    endpoint: ServingEndpoint,
    call: EngineCall,
    timeoutMs: number,
  ): Promise<RawAnswer | 'not_sent' | 'lost'> {
    const {connector, connectTimeout} = this.options;
    const connection = await connector.open({
      endpoint,
      timeoutMs: Math.min(timeoutMs, connectTimeout.timeoutMs),
      isLast: false,
      isProbe: true,
      signal: new AbortController().signal,
    });
    if (connection.kind === 'failed') return 'not_sent';
    if (connection.path !== 'direct') {
      // An isolated instance may lose its forwarder between two calls.
      connection.reset();
      return 'not_sent';
    }
    const answer = send(connection, call).catch(() => 'lost' as const);
    const result = await resolveWithin(answer, {timeoutMs, otherwise: 'lost'});
    connection.reset();
    return result;
  }
}

async function send(
  connection: EndpointConnection,
  {method, path, headers, body}: EngineCall,
): Promise<RawAnswer | 'lost'> {
  return new Promise(resolve => {
    const call = httpRequest({
      method,
      path,
      headers: [...headers],
      setHost: false,
      createConnection: () => {
        const opened = connection.createConnection();
        INPUT_PACER.pace(opened);
        return opened;
      },
    });
    const lose = () => resolve('lost');
    call.once('response', response => {
      // The request may close before its answer has been consumed.
      call.off('close', lose);
      void readBody(response).then(resolve);
    });
    call.on('error', lose);
    call.once('close', lose);
    call.end(body);
  });
}

async function readBody(
  response: IncomingMessage,
): Promise<RawAnswer | 'lost'> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return 'lost';
      chunks.push(chunk);
    }
  } catch {
    return 'lost';
  }
  if (!response.complete) return 'lost';
  return {status: response.statusCode ?? 0, body: Buffer.concat(chunks)};
}
