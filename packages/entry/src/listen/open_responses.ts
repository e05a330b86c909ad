/** Tracks the responses of a server that have not been sent completely. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';

/**
 * Tracks each response from its request on, and closes connections after their
 * responses once the server shuts down.
 *
 * The header `Connection: close` alone isn't enough: a response whose head has
 * been sent can't announce it any more. Its connection would stay open, and the
 * caller's next request on it would be refused by this instance, or be lost
 * when the sockets are closed.
 */
export class OpenResponses {
  private readonly sockets = new Map<ServerResponse, Socket>();
  private readonly allSentWaiters: Array<() => void> = [];
  private isClosing = false;
  private mustCloseIdle = false;

  constructor(private readonly server: Server) {
    // Ahead of the router's listener, which may respond at once.
    server.prependListener('request', (request, response) =>
      this.track(request, response),
    );
  }

  /** From now on each connection closes after its last pending response. */
  closeAfterResponses(): void {
    this.isClosing = true;
    const lastPerSocket = new Map<Socket, ServerResponse>();
    for (const [response, socket] of this.sockets) {
      lastPerSocket.set(socket, response);
    }
    for (const response of lastPerSocket.values()) announceClose(response);
  }

  /**
   * Accepts no new connections and closes idle ones. The `close` of an HTTP
   * server would also destroy connections whose response is written but not
   * sent (Node.js counts them as idle once `end` was called), so that a caller
   * that reads slowly would get an incomplete response. So only the listening
   * socket is closed here, and idle connections as soon as no such response is
   * pending.
   */
  stopListening(): void {
    NetServer.prototype.close.call(this.server);
    this.mustCloseIdle = true;
    this.closeIdleIfSafe();
  }

  /**
   * Resolves when the last byte of every response has been handed to the
   * kernel, or its connection has closed. When a caller reads slowly, what a
   * handler has written may still be buffered in this process, and would be
   * lost with it.
   */
  async whenAllSent(): Promise<void> {
    if (this.sockets.size === 0) return;
    await new Promise<void>(resolve => this.allSentWaiters.push(resolve));
  }

  private track(request: IncomingMessage, response: ServerResponse): void {
    const {socket} = request;
    if (this.isClosing) this.announceCloseOnLastOnly(socket, response);
    this.sockets.set(response, socket);
    response.once('finish', () => {
      this.remove(response);
      if (this.isClosing) this.closeIfIdle(socket);
    });
    response.once('close', () => this.remove(response));
    // A pipelined response that waits behind another one emits no `close` if
    // the connection closes meanwhile (Node.js gives it no socket before its
    // turn).
    socket.once('close', () => this.remove(response));
  }

  /**
   * Sets `Connection: close` on the connection's last response only. Pipelined
   * responses behind one that closes the connection would be lost.
   */
  private announceCloseOnLastOnly(socket: Socket, last: ServerResponse): void {
    for (const [before, responseSocket] of this.sockets) {
      if (responseSocket === socket && !before.headersSent) {
        before.removeHeader('connection');
      }
    }
    announceClose(last);
  }

  private remove(response: ServerResponse): void {
    if (!this.sockets.delete(response)) return;
    this.closeIdleIfSafe();
    if (this.sockets.size > 0) return;
    for (const resolve of this.allSentWaiters.splice(0)) resolve();
  }

  private closeIdleIfSafe(): void {
    if (!this.mustCloseIdle) return;
    const isSending = [...this.sockets.keys()].some(
      response => response.writableEnded,
    );
    if (isSending) return;
    this.mustCloseIdle = false;
    this.server.closeIdleConnections();
  }

  /**
   * Closes the connection unless pipelined requests on it are still pending.
   */
  private closeIfIdle(socket: Socket): void {
    const isUsed = [...this.sockets.values()].includes(socket);
    // Reads nothing more, so that no request is accepted that gets no response.
    if (!isUsed) socket.destroySoon();
  }
}

function announceClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close');
}
