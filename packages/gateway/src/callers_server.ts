/** Listens to callers. */

import {createServer, type Server} from 'node:http';
import {Server as TcpServer} from 'node:net';
import type {Logger} from '@snipestage/log/logger.js';
import type {CallerLimits} from '@snipestage/routing/route.js';
import {splitAddress} from './endpoint_call.js';
import type {RequestHandler} from './request_handler.js';

/** What a {@link CallersServer} is made from. */
export interface CallersServerOptions {
  readonly address: string;
  readonly handler: RequestHandler;
  readonly logger: Logger;
}

/**
 * Before a configuration is known; the largest header that Node.js takes by
 * default.
 */
const INITIAL_MAX_HEADER_BYTES = 16_384;
/**
 * A connection is closed so much later than callers may be idle, or a request
 * that was sent in time would cross our close.
 */
const IDLE_MARGIN_MS = 2000;
/** How often Node.js looks for connections past their header timeout. */
const CHECK_EVERY_MS = 1000;
/** More waiting connections than a burst on one instance brings. */
const BACKLOG = 1024;

/** Owns the listening socket. */
export class CallersServer {
  private readonly server: Server;

  constructor(private readonly options: CallersServerOptions) {
    const {handler, logger} = options;
    this.server = createServer(
      {
        connectionsCheckingInterval: CHECK_EVERY_MS,
        maxHeaderSize: INITIAL_MAX_HEADER_BYTES * 4,
        noDelay: true,
      },
      (request, response) => void handler.handle(request, response),
    );
    this.server.requestTimeout = 0;
    this.server.on('connection', socket =>
      handler.connections.noteOpened(socket, performance.now()),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      logger.debug('caller_connection_error', {error: error.code});
      if (!socket.writable || error.code === 'ECONNRESET') {
        socket.destroy();
        return;
      }
      socket.end(answerTo(error.code));
    });
  }

  async start(): Promise<void> {
    const [host, port] = splitAddress(this.options.address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port, backlog: BACKLOG}, resolve);
    });
  }

  /** Puts an operator's limits in force for what comes from now on. */
  applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS;
  }

  /**
   * Takes no new connections; those that are open go on.
   *
   * An HTTP server of Node.js (20) closes connections that it takes for idle
   * when it is closed, among them those on which the end of an answer is still
   * on its way; the server below it does not.
   */
  stopListening(): void {
    if (this.server.listening) TcpServer.prototype.close.call(this.server);
  }

  /** Closes connections that wait for another request. */
  closeResting(): void {
    this.options.handler.connections.closeResting();
  }

  closeAll(): void {
    // Ends the server's own timers too.
    this.server.close();
    this.server.closeAllConnections();
  }
}

function answerTo(code: string | undefined): string {
  const status =
    code === 'HPE_HEADER_OVERFLOW'
      ? '431 Request Header Fields Too Large'
      : '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
