/**
 * A TCP connection that is opened for a single request.
 *
 * A pooled connection may be dead without notice, because a device between the
 * two ends has dropped its state: the bytes of the request are lost, the sender
 * can't tell whether they arrived, and a request that must not be repeated ends
 * with an unknown outcome. The handshake of a new connection proves that the
 * endpoint can be reached, at the cost of one round trip.
 */

import net from 'node:net';
import {ReadFirstTimeout} from './read_first_timeout.js';
import type {Verdict} from '@snipestage/types/verdict.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const CONNECT_TIMEOUT_REASON = 'connect timeout';

/** Options of {@link FreshConnection.open}. */
export interface FreshConnectionOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMs?: number;
  /**
   * Called before each write to the socket; if it returns false, nothing is
   * written and the connection is reset.
   */
  readonly mayStillSend?: () => boolean;
  /**
   * Resets the connection when aborted, so that the kernel discards what it has
   * not delivered.
   */
  readonly signal?: AbortSignal;
}

/** Why no connection was established; nothing was sent. */
export type ConnectFailure = {
  readonly kind: 'failed';
  readonly reason: string;
  /** True if the handshake timed out, rather than being refused. */
  readonly timedOut: boolean;
};

/**
 * An open connection. Pass {@link createConnection} to `got` or `node:http`.
 */
export class FreshConnection {
  readonly kind = 'open';
  private hasWrittenBytes = false;
  private sendForbidden = false;

  private constructor(
    private readonly socket: net.Socket,
    private readonly mayStillSend: () => boolean,
  ) {
    this.guardWrites();
  }

  /**
   * Opens a connection and waits for the handshake; never rejects.
   *
   * @example
   * const connection = await FreshConnection.open({host, port});
   * if (connection.kind === 'failed') return 'not_run';
   */
  static async open(
    options: FreshConnectionOptions,
  ): Promise<FreshConnection | ConnectFailure> {
    const {signal} = options;
    if (signal?.aborted) {
      return {kind: 'failed', reason: 'aborted', timedOut: false};
    }
    const socket = startConnecting(options);
    if (!(socket instanceof net.Socket)) return socket;
    const reset = () => resetSocket(socket);
    signal?.addEventListener('abort', reset, {once: true});
    socket.once('close', () => signal?.removeEventListener('abort', reset));
    const failure = await waitUntilOpen(
      socket,
      options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    );
    if (failure !== undefined) {
      socket.destroy();
      const timedOut = failure === CONNECT_TIMEOUT_REASON;
      return {kind: 'failed', reason: failure, timedOut};
    }
    // Later errors reach the request that uses the socket. Without this listener,
    // an error while no request uses it would end the process.
    socket.on('error', () => {});
    return new FreshConnection(socket, options.mayStillSend ?? (() => true));
  }

  /** Whether the request may have run, judged only by whether it was sent. */
  get verdict(): Verdict {
    return this.hasWrittenBytes ? 'may_have_run' : 'not_run';
  }

  /** True once the guard has forbidden a write; that write was not sent. */
  get wasForbidden(): boolean {
    return this.sendForbidden;
  }

  /** Value for the `createConnection` option of `http.request` and `got`. */
  readonly createConnection = (): net.Socket => this.socket;

  /** Resets the connection. */
  reset(): void {
    resetSocket(this.socket);
  }

  /**
   * Makes each write call `mayStillSend` first. Both happen in the same call, so
   * that no other work of this process can run between check and send. Only a
   * process that the system suspends between the check and the write below can
   * send late.
   */
  private guardWrites(): void {
    const write = this.socket.write.bind(this.socket) as (
      ...args: unknown[]
    ) => boolean;
    const guarded = (...args: unknown[]): boolean => {
      if (!this.mayStillSend()) {
        this.sendForbidden = true;
        resetSocket(this.socket);
        return false;
      }
      this.hasWrittenBytes = true;
      return write(...args);
    };
    this.socket.write = guarded as net.Socket['write'];
  }
}

/**
 * Resets a socket, or destroys it if its sending side is being shut down. Such
 * a socket can't be reset: Node.js (20) gets an error from the system and leaves
 * the handle open, which then keeps a CPU core busy for the rest of the process.
 * It has nothing more to send, so that closing it is equivalent.
 */
function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

/** Node.js (20) throws for a port that no address can have. */
function startConnecting({
  host,
  port,
}: FreshConnectionOptions): net.Socket | ConnectFailure {
  try {
    return net.connect({host, port, noDelay: true});
  } catch (error) {
    return {kind: 'failed', reason: String(error), timedOut: false};
  }
}

function waitUntilOpen(
  socket: net.Socket,
  timeoutMs: number,
): Promise<string | undefined> {
  return new Promise(resolve => {
    const timeout = new ReadFirstTimeout(
      () => resolve(CONNECT_TIMEOUT_REASON),
      timeoutMs,
    );
    const settle = (reason?: string) => {
      timeout.cancel();
      resolve(reason);
    };
    socket.once('connect', () => settle());
    socket.once('error', error => settle(error.message));
    socket.once('close', () => settle('closed'));
  });
}
