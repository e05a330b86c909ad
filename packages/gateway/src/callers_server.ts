/** The HTTP server for callers' requests. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {Server as TcpServer, type Socket} from 'node:net';
import {INPUT_PACER} from '@snipestage/connection/input_pacer.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {CallerLimits} from '@snipestage/routing/route.js';
import {LISTEN_BACKLOG_COUNT} from './accept_queue_watch.js';
import {ConnectionLimit} from './connection_limit.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import {splitAddress} from './split_address.js';
import type {RequestHandler} from './request_handler.js';

/** Options of {@link CallersServer}. */
export interface CallersServerOptions {
  readonly address: string;
  readonly handler: RequestHandler;
  readonly metrics: Pick<GatewayMetrics, 'countOverload'>;
  readonly logger: Logger;
  /** Requests on one connection whose answers are due (32). */
  readonly maxRequestsAhead?: number;
  /** Connections open at a time (no bound). */
  readonly maxConnections?: number;
}

/** Before a configuration is known, and more than operators configure. */
export const MAX_HEADER_BYTES = 262_144;
/**
 * For the request line, and for what Node.js counts in a head beyond the names and
 * values that a configured limit is about, which is checked for each request.
 */
const HEAD_MARGIN_BYTES = 16_384;
/**
 * Added to the timeouts of callers, so that a request that was sent in time
 * doesn't cross the closing of its connection.
 */
const IDLE_MARGIN_MS = 2000;
/** How often Node.js checks for connections past their header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 1000;
/**
 * Looks for what has arrived, once no connection waits to be accepted; not a
 * time, which may pass while the process stands still.
 */
const MAX_LOOKS = 10;
/** After a longer turn, more may have arrived since its sockets were read. */
const QUICK_TURN_MS = 20;

const HEADER_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const ERROR_STATUSES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  // Unlike a 400, it lets a caller repeat a request that crosses it.
  [HEADER_TIMEOUT_CODE]: '408 Request Timeout',
};

const DEFAULT_MAX_REQUESTS_AHEAD = 32;
/** Longest time for which a caller may take to close after an error. */
const LINGER_MS = 2000;

/** Owns the listening socket. */
export class CallersServer {
  private readonly server: Server;
  /** Connections on which an error was the last answer. */
  private readonly ended = new WeakSet<Socket>();
  private readonly limit: ConnectionLimit;

  constructor(private readonly options: CallersServerOptions) {
    const {handler, logger, metrics} = options;
    this.limit = new ConnectionLimit({
      maxConnections: options.maxConnections ?? Infinity,
      isIdle: socket => handler.connections.countOpenAnswers(socket) === 0,
      onClosed: () => metrics.countOverload('connections'),
    });
    this.server = createServer(
      {
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        noDelay: true,
      },
      (request, response) => this.receive(request, response),
    );
    this.server.requestTimeout = 0;
    this.limit.watch(this.server);
    this.server.on('connection', socket =>
      handler.connections.noteOpened(socket),
    );
    INPUT_PACER.paceServer(this.server);
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      logger.debug('caller_connection_error', {error: error.code});
      if (error.code === HEADER_TIMEOUT_CODE) {
        void this.endOverdue(socket as Socket);
      } else this.endWithError(socket as Socket, error.code);
    });
    // Without a listener, Node.js closes at once what has timed out.
    this.server.on('timeout', socket => void this.closeIdleOne(socket));
  }

  async start(): Promise<void> {
    const [host, port] = splitAddress(this.options.address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port, backlog: LISTEN_BACKLOG_COUNT}, resolve);
    });
  }

  /** Applies an operator's timeouts from now on. */
  applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS;
    // Node.js (20) reads it for each new connection.
    const server = this.server as Server & {maxHeaderSize?: number};
    server.maxHeaderSize = Math.min(
      MAX_HEADER_BYTES,
      limits.maxHeaderBytes + HEAD_MARGIN_BYTES,
    );
  }

  /**
   * Accepts no new connections; open ones stay open.
   *
   * `close` of an HTTP server of Node.js (20) also closes connections that it
   * regards as idle, among them those with the end of an answer still in
   * transit; `close` of the underlying TCP server does not.
   */
  stopListening(): void {
    if (this.server.listening) TcpServer.prototype.close.call(this.server);
  }

  /**
   * Resolves when everything that had arrived has been read. What is closed in
   * the same turn of the event loop is closed with nothing unread.
   *
   * Node.js (20) runs timers before it reads sockets, and accepts one connection
   * in a turn of the event loop. Callers that wait for a process without
   * processor time would be cut off, their requests whole and unanswered.
   *
   * Where every turn is slow, it resolves all the same after some of them.
   *
   * @param mayGoOn whether there is still time to wait for connections that have
   *   not been accepted.
   */
  async readArrived(mayGoOn: () => boolean = () => true): Promise<void> {
    const {connections} = this.options.handler;
    for (let looks = 0; looks < MAX_LOOKS && mayGoOn();) {
      const before = connections.readSoFar;
      // The current turn may have read its sockets already.
      await nextTurn();
      const beganAtMs = performance.now();
      await nextTurn();
      const isQuick = performance.now() - beganAtMs < QUICK_TURN_MS;
      if (isQuick && connections.readSoFar === before) return;
      if (!connections.queue.hasWaiting) looks += 1;
    }
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const {socket} = request;
    const {
      handler,
      metrics,
      maxRequestsAhead = DEFAULT_MAX_REQUESTS_AHEAD,
    } = this.options;
    // Node.js hands out all requests of a read, also those after a close.
    if (socket.destroyed) return;
    // It has crossed the last answer of its connection.
    if (this.ended.has(socket)) request.resume();
    else if (handler.connections.countOpenAnswers(socket) >= maxRequestsAhead) {
      metrics.countOverload('requests_ahead');
      socket.destroy();
    } else {
      this.limit.noteActive(socket);
      response.once('close', () => this.limit.noteActive(socket));
      void handler.handle(request, response);
    }
  }

  /**
   * Answers with an error and closes. What comes on the connection after that is
   * read and dropped for a while: a reset could discard the answer.
   */
  private endWithError(socket: Socket, code: string | undefined): void {
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    this.ended.add(socket);
    socket.end(composeErrorAnswer(code));
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(timer));
  }

  /** Ends a connection past its header timeout, unless a request has arrived. */
  private async endOverdue(socket: Socket): Promise<void> {
    const {connections} = this.options.handler;
    const {bytesRead} = socket;
    const requests = connections.countRequests(socket);
    await this.readArrived();
    // Node.js limits the time of a first head that has begun only now.
    const hasBegun = bytesRead === 0 && socket.bytesRead > 0;
    const hasArrived = connections.countRequests(socket) > requests;
    if (hasBegun || hasArrived) return;
    this.endWithError(socket, HEADER_TIMEOUT_CODE);
  }

  /** Closes a connection past its idle timeout, unless something has arrived. */
  private async closeIdleOne(socket: Socket): Promise<void> {
    const {bytesRead} = socket;
    await this.readArrived();
    if (socket.bytesRead === bytesRead) socket.destroy();
  }

  get isListening(): boolean {
    return this.server.listening;
  }

  /**
   * Closes connections that have been used and wait for another request.
   *
   * @returns how many were closed.
   */
  closeIdle(): number {
    return this.options.handler.connections.closeIdle();
  }

  closeAll(): void {
    // Also stops the server's own timers.
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Resolves after the event loop has read its sockets once. */
function nextTurn(): Promise<void> {
  return new Promise(done => setImmediate(done));
}

function composeErrorAnswer(code = ''): string {
  const status = ERROR_STATUSES[code] ?? '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
