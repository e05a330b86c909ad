/** Bounds the connections of a server. */

import type {Server, Socket} from 'node:net';

/** Options of {@link ConnectionLimit}. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Whether the connection carries nothing that its closing would lose. */
  readonly isIdle: (socket: Socket) => boolean;
  /** Called for each connection that is closed for another one. */
  readonly onClosed: () => void;
}

/**
 * A new connection beyond the bound takes the place of the idle one that has been
 * quiet for longest, so that clients that open many and use none keep nobody out.
 * Where none is idle, the new one is closed.
 */
export class ConnectionLimit {
  /** Those that have been active most recently come last. */
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: ConnectionLimitOptions) {}

  /**
   * Applies to all connections that a server accepts from now on.
   *
   * @example
   * limit.watch(server);
   */
  watch(server: Server): void {
    server.on('connection', socket => this.add(socket));
  }

  /** A request has come, or an answer has ended. */
  noteActive(socket: Socket): void {
    if (!this.sockets.delete(socket)) return;
    this.sockets.add(socket);
  }

  private add(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    if (this.sockets.size <= this.options.maxConnections) return;
    const closed = this.findIdle(socket) ?? socket;
    this.sockets.delete(closed);
    closed.destroy();
    this.options.onClosed();
  }

  private findIdle(added: Socket): Socket | undefined {
    for (const socket of this.sockets) {
      if (socket !== added && this.options.isIdle(socket)) return socket;
    }
    return undefined;
  }
}
