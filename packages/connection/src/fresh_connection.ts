/**
 * A connection opened for one request.
 *
 * A pooled connection may have gone silent for good, because something between
 * the two ends has lost track of it: the request's bytes vanish, the sender
 * can't tell whether they arrived, and a request that must not be repeated is
 * lost with an unknown outcome. A new connection shows by its handshake that
 * the way is open. That costs one round trip.
 */

import net from 'node:net';
import type {Verdict} from '@snipestage/types/verdict.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const CONNECT_TIMEOUT = 'connect timeout';

/** How a connection is opened and guarded. */
export interface FreshConnectionOptions {
  readonly host: string;
  readonly port: number;
  readonly connectTimeoutMs?: number;
  /** Asked each time bytes are about to be handed over; false resets. */
  readonly mayStillSend?: () => boolean;
  /** Resets the connection, so that the kernel delivers nothing more. */
  readonly signal?: AbortSignal;
}

/** Why no connection came about; nothing was sent. */
export type ConnectFailure = {
  readonly kind: 'failed';
  readonly reason: string;
  /** Nothing came back in time, rather than a refusal. */
  readonly timedOut: boolean;
};

/**
 * An open connection. Hand {@link createConnection} to `got` or `node:http`.
 */
export class FreshConnection {
  readonly kind = 'open';
  private bytesHandedOver = false;
  private sendForbidden = false;

  private constructor(
    private readonly socket: net.Socket,
    private readonly mayStillSend: () => boolean,
  ) {
    this.guardWrites();
  }

  /**
   * Opens a connection; waits for the handshake.
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
    const socket = net.connect({
      host: options.host,
      port: options.port,
      noDelay: true,
    });
    const reset = () => resetSocket(socket);
    signal?.addEventListener('abort', reset, {once: true});
    socket.once('close', () => signal?.removeEventListener('abort', reset));
    const failure = await waitUntilOpen(
      socket,
      options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    );
    if (failure !== undefined) {
      socket.destroy();
      const timedOut = failure === CONNECT_TIMEOUT;
      return {kind: 'failed', reason: failure, timedOut};
    }
    // Errors from here on reach the request that uses the socket; an error
    // between two uses must not end the process.
    socket.on('error', () => {});
    return new FreshConnection(socket, options.mayStillSend ?? (() => true));
  }

  /** Whether the request may have run as far as its sending tells. */
  get verdict(): Verdict {
    return this.bytesHandedOver ? 'may_have_run' : 'not_run';
  }

  /** True when the guard forbade the send; nothing left. */
  get wasForbidden(): boolean {
    return this.sendForbidden;
  }

  /** For the option of the same name of `http.request` and `got`. */
  readonly createConnection = (): net.Socket => this.socket;

  /** Resets the connection. */
  reset(): void {
    resetSocket(this.socket);
  }

  /**
   * The check sits in the very call that hands bytes to the socket, so that
   * no other work of this process can come between check and send. Only a
   * process frozen by the system between the two lines below can send late.
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
      this.bytesHandedOver = true;
      return write(...args);
    };
    this.socket.write = guarded as net.Socket['write'];
  }
}

/**
 * A socket whose sending side is being shut down can't be reset: Node.js (20)
 * gets an error from the system and leaves the handle open, which then keeps a
 * processor busy for as long as the process lives. Such a socket has nothing
 * more to send, so that closing it is as good.
 */
function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

function waitUntilOpen(
  socket: net.Socket,
  timeoutMs: number,
): Promise<string | undefined> {
  return new Promise(resolve => {
    const timer = setTimeout(() => resolve(CONNECT_TIMEOUT), timeoutMs);
    const settle = (reason?: string) => {
      clearTimeout(timer);
      resolve(reason);
    };
    socket.once('connect', () => settle());
    socket.once('error', error => settle(error.message));
    socket.once('close', () => settle('closed'));
  });
}
