/** The answers of a server that have not gone out whole. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';

/**
 * Follows each answer from its request on, and lets connections close with
 * their answers once the server is to end.
 *
 * A header alone doesn't close them all: an answer whose head went out before
 * can't say `Connection: close` any more. Its connection would stay open, and
 * its caller's next request could come only here, to an instance that refuses
 * it, or be lost with the sockets.
 */
export class OpenAnswers {
  private readonly sockets = new Map<ServerResponse, Socket>();
  private readonly waitersForNone: Array<() => void> = [];
  private isClosing = false;
  private hasRestingToClose = false;

  constructor(private readonly server: Server) {
    // Before the router, which may answer at once.
    server.prependListener('request', (request, response) =>
      this.follow(request, response),
    );
  }

  /** From now on each connection closes with the answer that is under way. */
  closeWithAnswers(): void {
    this.isClosing = true;
    const lastOfEach = new Map<Socket, ServerResponse>();
    for (const [response, socket] of this.sockets) {
      lastOfEach.set(socket, response);
    }
    for (const response of lastOfEach.values()) askToClose(response);
  }

  /**
   * Takes no new connections and closes those that rest. The `close` of an HTTP
   * server would also destroy connections whose answer is written but not sent
   * (Node.js takes them for idle once `end` was called), so that a caller who
   * reads slowly sees its answer break off. So the listener is closed alone,
   * and resting connections while no such answer is under way.
   */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
    this.hasRestingToClose = true;
    this.closeResting();
  }

  /**
   * Resolves when the kernel has the last byte of every answer, or their
   * callers have hung up. What a handler has written may still lie in this
   * process, and would be lost with it, when a caller reads slowly.
   */
  async whenNone(): Promise<void> {
    if (this.sockets.size === 0) return;
    await new Promise<void>(resolve => this.waitersForNone.push(resolve));
  }

  private follow(request: IncomingMessage, response: ServerResponse): void {
    const {socket} = request;
    if (this.isClosing) this.askOnlyLastToClose(socket, response);
    this.sockets.set(response, socket);
    response.once('finish', () => {
      this.forget(response);
      if (this.isClosing) this.closeIfUnused(socket);
    });
    response.once('close', () => this.forget(response));
    // An answer that waits behind another one never closes if the connection
    // goes meanwhile (Node.js gives it no socket before its turn).
    socket.once('close', () => this.forget(response));
  }

  /** Whatever waits behind an answer that closes is lost with its connection. */
  private askOnlyLastToClose(socket: Socket, last: ServerResponse): void {
    for (const [before, itsSocket] of this.sockets) {
      if (itsSocket === socket && !before.headersSent) {
        before.removeHeader('connection');
      }
    }
    askToClose(last);
  }

  private forget(response: ServerResponse): void {
    if (!this.sockets.delete(response)) return;
    this.closeResting();
    if (this.sockets.size > 0) return;
    for (const resolve of this.waitersForNone.splice(0)) resolve();
  }

  private closeResting(): void {
    if (!this.hasRestingToClose) return;
    const isSending = [...this.sockets.keys()].some(
      response => response.writableEnded,
    );
    if (isSending) return;
    this.hasRestingToClose = false;
    this.server.closeIdleConnections();
  }

  /** Requests sent one upon the other have answers to come. */
  private closeIfUnused(socket: Socket): void {
    const isUsed = [...this.sockets.values()].includes(socket);
    // Nothing more is read, so that no request is taken that gets no answer.
    if (!isUsed) socket.destroySoon();
  }
}

function askToClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close');
}
