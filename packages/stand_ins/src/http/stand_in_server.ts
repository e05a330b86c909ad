/** Base class of the HTTP stand-ins: a listener, faults and a control call. */

import type {Server as HttpServer} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import restify, {type Request, type Response, type Server} from 'restify';
import {headerOf, parseJson, readBody, sendJson} from './exchange.js';
import {ActiveFaults, type Fault} from './faults.js';
import {listenOn} from './listen.js';
import {resetConnection} from './reset.js';

/** Address on which a stand-in listens. */
export interface ListenOptions {
  readonly host?: string;
  /** 0 lets the system choose a free port. */
  readonly port?: number;
}

/** A call whose body has been read. */
export interface Call {
  readonly request: Request;
  readonly response: Response;
  readonly body: Buffer;
  readonly fault: Fault;
}

/** The response to a call. */
export interface Answer {
  readonly status: number;
  /** A `Buffer` is sent unchanged, anything else as JSON. */
  readonly body: unknown;
}

/** One call of a stand-in's interface. */
export interface Route {
  readonly method: 'get' | 'post' | 'put';
  readonly path: string;
  /** Area whose fault affects the call. */
  readonly area: string;
  /** Keys that the call touches, for faults with a `keyPrefix`. */
  readonly keysOf?: (request: Request, body: Buffer) => readonly string[];
  /**
   * Carries out the call. When it returns `undefined`, it handles the response
   * itself.
   */
  readonly run: (call: Call) => Answer | undefined | Promise<Answer>;
}

const DEFAULT_HOST = '127.0.0.1';
const CONTROL_PATH = '/control';

/** A restify server whose connections can all be reset at once. */
export abstract class StandInServer {
  readonly faults = new ActiveFaults();
  protected readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly host: string;
  private port: number;

  constructor(options: ListenOptions = {}) {
    this.host = options.host ?? DEFAULT_HOST;
    this.port = options.port ?? 0;
    this.server = restify.createServer({name: 'stand-in'});
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.post(CONTROL_PATH, async (request, response) => {
      await this.answerControl(request, response);
    });
    this.server.get(`${CONTROL_PATH}/log`, async (_request, response) => {
      sendJson(response, 200, this.report());
    });
  }

  /**
   * Scheme, IP address and port; with port 0 it is valid only after the start.
   *
   * @example
   * await engine.start();
   * await got(`${engine.url}/healthz`);
   */
  get url(): string {
    return `http://${this.host}:${this.port}`;
  }

  /**
   * Starts listening; a restart uses the port of the first start.
   *
   * @example
   * await engine.start();
   */
  async start(): Promise<void> {
    this.port = await listenOn(this.httpServer, this.port, this.host);
  }

  /**
   * Stops listening and resets every connection.
   *
   * @example
   * await engine.stop();
   */
  async stop(): Promise<void> {
    if (!this.httpServer.listening) return;
    const closed = new Promise(resolve => this.httpServer.close(resolve));
    this.resetConnections();
    await closed;
  }

  /**
   * Applies the body of a control call.
   *
   * @throws Error when the body is invalid, which is answered 400.
   */
  protected abstract applyControl(command: unknown): void;

  /** The body of the answer to `GET /control/log`. */
  protected abstract report(): object;

  /**
   * The `Authorization` header that every served route requires; `undefined`
   * when none is needed.
   */
  protected get requiredAuthorization(): string | undefined {
    return undefined;
  }

  /** Registers a route and applies the faults of its area to its calls. */
  protected serve(route: Route): void {
    const mount = this.server[route.method].bind(this.server);
    mount(route.path, async (request: Request, response: Response) => {
      const body = await readBody(request);
      const keys = route.keysOf?.(request, body) ?? [];
      const fault = this.faults.consume(route.area, keys);
      const call = {request, response, body, fault};
      if (!this.isAuthorized(call) || !(await applyEarlyFault(call))) return;
      const answer = await route.run(call);
      if (answer === undefined) return;
      if (fault.mode === 'lose_answer') resetSocket(call);
      else sendAnswer(response, answer);
    });
  }

  /** Resets every connection: callers see `ECONNRESET`, as after a kill. */
  protected resetConnections(): void {
    for (const socket of this.sockets) resetConnection(socket);
  }

  private isAuthorized({request, response}: Call): boolean {
    const required = this.requiredAuthorization;
    if (required === undefined) return true;
    if (headerOf(request, 'authorization') === required) return true;
    sendJson(response, 401, {reason: 'The bearer token is wrong.'});
    return false;
  }

  private async answerControl(
    request: Request,
    response: Response,
  ): Promise<void> {
    try {
      this.applyControl(parseJson(await readBody(request)));
      sendJson(response, 200, {});
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      sendJson(response, 400, {message});
    }
  }

  private get httpServer(): HttpServer {
    return this.server.server as HttpServer;
  }
}

/** Resets the connection that a call came on. */
export function resetSocket(call: Call): void {
  resetConnection(call.request.socket);
}

/**
 * Applies the faults that occur before the call takes effect.
 *
 * @returns whether the call is to be carried out.
 */
async function applyEarlyFault(call: Call): Promise<boolean> {
  const {mode, delayMs = 0, retryAfterS} = call.fault;
  switch (mode) {
    case 'down':
      resetSocket(call);
      return false;
    case 'silent':
      return false;
    case 'error':
      if (retryAfterS !== undefined) {
        call.response.setHeader('Retry-After', String(retryAfterS));
      }
      sendJson(call.response, 503, {reason: 'The fault `error` is set.'});
      return false;
    case 'slow':
      await delay(delayMs);
      return true;
    default:
      return true;
  }
}

function sendAnswer(response: Response, answer: Answer): void {
  if (!Buffer.isBuffer(answer.body)) {
    sendJson(response, answer.status, answer.body);
    return;
  }
  response.writeHead(answer.status, {
    'Content-Type': 'application/octet-stream',
  });
  response.end(answer.body);
}
