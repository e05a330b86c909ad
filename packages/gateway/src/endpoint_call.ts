/** One attempt at one endpoint over a connection of its own. */

import {
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import type {Verdict} from '@snipestage/types/verdict.js';

/** What goes to the endpoint. */
export interface EndpointCallOptions {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  readonly connectTimeoutMs: number;
  /** The connection stood after so long. */
  readonly onConnected?: (tookMs: number) => void;
}

/**
 * Why there was no answer.
 *
 * - `unreachable`: the endpoint's machine refused the connection.
 * - `connect_timeout`: nothing came back.
 * - `broken`: the connection ended before an answer.
 */
export type CallFailureReason =
  'unreachable' | 'connect_timeout' | 'broken' | 'cancelled';

/** How a call's head ended. */
export type CallHead =
  | {readonly kind: 'head'; readonly response: IncomingMessage}
  | {
      readonly kind: 'failed';
      readonly reason: CallFailureReason;
      readonly verdict: Verdict;
      readonly message: string;
    };

/**
 * A connection is never shared or reused. One that was idle may have gone
 * silent, or bring a late answer to the request before: then a request that may
 * not be repeated would be lost, or a caller get another's answer.
 */
export class EndpointCall {
  private readonly cancellation = new AbortController();
  private connection: FreshConnection | undefined;
  private request: ClientRequest | undefined;
  private closedWell: Promise<boolean> = Promise.resolve(false);
  readonly head: Promise<CallHead>;

  constructor(private readonly options: EndpointCallOptions) {
    this.head = this.run();
  }

  /** `not_run` until bytes have been handed to an open connection. */
  get verdict(): Verdict {
    return this.connection?.verdict ?? 'not_run';
  }

  /**
   * Whether an answer that has come to its end is whole.
   *
   * The end of an answer without a length is the end of its connection, and
   * Node.js (20) takes a reset for that end as well; {@link watchEnd} tells a
   * crash in the middle from a proper end.
   */
  async isWhole(response: IncomingMessage): Promise<boolean> {
    if (!response.complete) return false;
    const {headers} = response;
    const hasLength =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    return hasLength || this.closedWell;
  }

  /** Whether it was ended from this side. */
  get isCancelled(): boolean {
    return this.cancellation.signal.aborted;
  }

  /** Ends the attempt; endpoints stop work when the connection closes. */
  cancel(): void {
    this.cancellation.abort();
    this.request?.destroy();
  }

  private async run(): Promise<CallHead> {
    const [host, port] = splitAddress(this.options.address);
    const startedAtMs = performance.now();
    const connection = await FreshConnection.open({
      host,
      port,
      connectTimeoutMs: this.options.connectTimeoutMs,
      signal: this.cancellation.signal,
    });
    if (connection.kind === 'failed') {
      const reason = connection.timedOut ? 'connect_timeout' : 'unreachable';
      return this.failed(reason, connection.reason);
    }
    this.options.onConnected?.(performance.now() - startedAtMs);
    this.connection = connection;
    this.closedWell = watchEnd(connection.createConnection());
    if (this.isCancelled) return this.failed('broken', '');
    return this.send(connection);
  }

  private send(connection: FreshConnection): Promise<CallHead> {
    const {method, path, headers, body} = this.options;
    const request = httpRequest({
      method,
      path,
      headers,
      setHost: false,
      createConnection: connection.createConnection,
    });
    this.request = request;
    return new Promise(resolve => {
      request.once('response', response => resolve({kind: 'head', response}));
      request.on('error', error =>
        resolve(this.failed('broken', error.message)),
      );
      request.once('close', () =>
        resolve(this.failed('broken', 'closed without an answer')),
      );
      request.end(body);
    });
  }

  private failed(reason: CallFailureReason, message: string): CallHead {
    const {isCancelled} = this;
    return {
      kind: 'failed',
      reason: isCancelled ? 'cancelled' : reason,
      verdict: this.verdict,
      message,
    };
  }
}

/**
 * Whether a connection was closed by its peer rather than reset.
 *
 * A reset that arrives together with the last bytes is reported by libuv as an
 * end of the stream, without an error. At that moment the system holds such a
 * connection for gone and has no peer to name, while one that was closed still
 * has its peer. Nothing may have asked for the peer before, since Node.js keeps
 * the answer.
 */
function watchEnd(socket: Socket): Promise<boolean> {
  let hadPeerAtEnd = false;
  socket.prependListener('end', () => {
    hadPeerAtEnd = socket.remoteAddress !== undefined;
  });
  return new Promise(resolve =>
    socket.once('close', hadError => resolve(!hadError && hadPeerAtEnd)),
  );
}

/**
 * @example
 * splitAddress('10.0.0.1:80'); // ['10.0.0.1', 80]
 */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
