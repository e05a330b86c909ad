/** One call of an endpoint over a connection of its own. */

import {
  request as httpRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import type {Verdict} from '@snipestage/types/verdict.js';

/** Options of {@link EndpointCall}: the request and how to connect. */
export interface EndpointCallOptions {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  readonly connectTimeoutMs: number;
  /** Called with the time that it took to establish the connection. */
  readonly onConnected?: (tookMs: number) => void;
  /** Called when no connection could be opened, unless it was cancelled. */
  readonly onConnectFailed?: (failed: {
    readonly tookMs: number;
    readonly hasTimedOut: boolean;
  }) => void;
  /** Asked once the connection is open, before the request is sent. */
  readonly mayStillSend?: () => boolean;
}

/**
 * Why there was no answer.
 *
 * - `unreachable`: the connection was refused or failed to open.
 * - `connect_timeout`: the connection wasn't established in time.
 * - `broken`: the connection ended before an answer.
 * - `cancelled`: the call was ended from this side.
 * - `withheld`: nothing was sent, as the endpoint had announced meanwhile that
 *   it wants no requests.
 */
export type CallFailureReason =
  'unreachable' | 'connect_timeout' | 'broken' | 'cancelled' | 'withheld';

/** The head of the answer, or why there is none. */
export type CallHead =
  | {readonly kind: 'head'; readonly response: IncomingMessage}
  | {
      readonly kind: 'failed';
      readonly reason: CallFailureReason;
      readonly verdict: Verdict;
      readonly message: string;
    };

/**
 * Sends one request on a connection that is never shared or reused. An idle
 * connection may have gone dead, or may deliver a late answer to an earlier
 * request: a request that must not be repeated would be lost, or a caller would
 * get the answer to another's request.
 */
export class EndpointCall {
  private readonly cancellation = new AbortController();
  private connection: FreshConnection | undefined;
  private request: ClientRequest | undefined;
  private closedCleanly: Promise<boolean> = Promise.resolve(false);
  readonly head: Promise<CallHead>;

  constructor(private readonly options: EndpointCallOptions) {
    this.head = this.run();
  }

  /** `not_run` until bytes have been written to an open connection. */
  get verdict(): Verdict {
    return this.connection?.verdict ?? 'not_run';
  }

  /**
   * Whether an answer that has ended is complete.
   *
   * An answer without a length ends with its connection, and Node.js (20)
   * accepts a reset as that end, too; {@link closesCleanly} distinguishes a
   * crash in the middle of the answer from a regular end.
   */
  async isWhole(response: IncomingMessage): Promise<boolean> {
    if (!response.complete) return false;
    const {headers} = response;
    const hasLength =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
    return hasLength || this.closedCleanly;
  }

  /** Whether the call was ended from this side. */
  get isCancelled(): boolean {
    return this.cancellation.signal.aborted;
  }

  /** Closes the connection, upon which the endpoint stops its work. */
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
      this.noteConnectFailed(startedAtMs, connection.timedOut);
      const reason = connection.timedOut ? 'connect_timeout' : 'unreachable';
      return this.failed(reason, connection.reason);
    }
    this.options.onConnected?.(performance.now() - startedAtMs);
    this.connection = connection;
    this.closedCleanly = closesCleanly(connection.createConnection());
    if (this.isCancelled) return this.failed('broken', '');
    if (this.options.mayStillSend?.() === false) {
      connection.reset();
      return this.failed('withheld', 'the endpoint wants no requests');
    }
    return this.send(connection);
  }

  private noteConnectFailed(startedAtMs: number, hasTimedOut: boolean): void {
    if (this.isCancelled) return;
    const tookMs = performance.now() - startedAtMs;
    this.options.onConnectFailed?.({tookMs, hasTimedOut});
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
 * Resolves at the end of a connection, with whether its peer closed rather than
 * reset it.
 *
 * libuv reports a reset that arrives together with the last bytes as an end of
 * the stream, without an error. At that moment the kernel no longer knows a
 * peer address of a reset connection, while a closed one still has one.
 * `remoteAddress` must not have been read before, since Node.js caches it.
 */
function closesCleanly(socket: Socket): Promise<boolean> {
  let hadPeerAtEnd = false;
  socket.prependListener('end', () => {
    hadPeerAtEnd = socket.remoteAddress !== undefined;
  });
  return new Promise(resolve =>
    socket.once('close', hadError => resolve(!hadError && hadPeerAtEnd)),
  );
}

/**
 * Splits an address into host and port.
 *
 * @example
 * splitAddress('10.0.0.1:80'); // ['10.0.0.1', 80]
 */
export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
