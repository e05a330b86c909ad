/** The answers of a server that have not gone out whole. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

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
  private isClosing = false;

  constructor(server: Server) {
    // Before the router, which may answer at once.
    server.prependListener('request', (request, response) =>
      this.follow(request, response),
    );
  }

  /** From now on each connection closes with the answer that is under way. */
  closeWithAnswers(): void {
    this.isClosing = true;
    for (const response of this.sockets.keys()) askToClose(response);
  }

  private follow(request: IncomingMessage, response: ServerResponse): void {
    const {socket} = request;
    this.sockets.set(response, socket);
    if (this.isClosing) askToClose(response);
    response.once('finish', () => {
      this.sockets.delete(response);
      if (this.isClosing) this.closeIfUnused(socket);
    });
    response.once('close', () => this.sockets.delete(response));
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
