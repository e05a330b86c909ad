/** A request handler on loopback with scripted endpoints, for tests. */

import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {CapturedLog} from './captured_log.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type InstanceId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import type {HeldBytes} from '@snipestage/routing/held_bytes.js';
import type {Route, RouteId, Service} from '@snipestage/routing/route.js';
import {RouteTable} from '@snipestage/routing/route_table.js';
import {Shutdown} from '@snipestage/routing/shutdown.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import type {Admission} from '../admission.js';
import {MAX_HEADER_BYTES} from '../callers_server.js';
import {CrashReporter} from '../crash_reporter.js';
import {DirectConnector} from '../direct_connector.js';
import {EndpointConnector} from '../endpoint_connector.js';
import {identifyBy} from '../identify_endpoint.js';
import {EndpointProbes} from '../endpoint_probes.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {MemoryClient} from '../migration/memory_client.js';
import {StreamMover} from '../migration/stream_mover.js';
import {MemoryGuard} from '../memory_guard.js';
import {PartGuard} from '../part_guard.js';
import {RequestHandler} from '../request_handler.js';
import {RoutingState} from '../routing_state.js';
import {Streams} from '../streams/streams.js';
import {MemoryPlatform} from './memory_platform.js';
import type {PassThroughProtocol} from '../pass_through_protocol.js';
import {PlainProtocol} from './plain_protocol.js';

const SERVICE = brandAs<ServiceId>('service');
const DATA_CENTRE = brandAs<DataCentreId>('akl-a');

/** Behaviour of an endpoint on each complete request, given as raw text. */
export type Script = (socket: Socket, request: string) => void;

/** An answer as raw text, with the request id and a signature. */
export function answerBytes(
  id: string,
  options: {
    readonly status?: number;
    readonly headers?: readonly string[];
    readonly body?: string;
  } = {},
): string {
  const {status = 200, headers = [], body = 'whole'} = options;
  const lines = [
    `HTTP/1.1 ${status} Status`,
    `X-Request-Id: ${id}`,
    'X-Signature: proof',
    `Content-Length: ${body.length}`,
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** The head of an answer with a chunked body. */
export function streamHead(id: string): string {
  return [
    'HTTP/1.1 200 OK',
    `X-Request-Id: ${id}`,
    'X-Signature: proof',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    '\r\n',
  ].join('\r\n');
}

/** One chunk of a chunked body; an empty one ends it. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection closed before the end of the answer. */
  readonly isComplete: boolean;
}

/**
 * A server with a {@link RequestHandler} and one route; its endpoints receive
 * and send raw bytes.
 */
export class TestProxy {
  readonly state = new RoutingState({
    ratio: 1,
    windowMs: 10_000,
    slack: 50,
    floor: 10,
  });
  /** Requests as endpoints received them, bodies included. */
  readonly received: Array<{endpoint: string; request: string}> = [];
  readonly begun: Admission[] = [];
  readonly log = new CapturedLog();
  /** Of callers and endpoints; set before the start. */
  protocol: PassThroughProtocol = new PlainProtocol();
  /** Added to the clock; lets a test skip time. */
  skippedMs = 0;
  /** Added to the time that connections to endpoints take. */
  connectDelayMs = 0;
  /** For how long requests may have waited when they are read. */
  heldUpMs = 0;
  /** Called when a request has been read. */
  onRequest: () => void = () => undefined;
  /** Number of connections that endpoints have accepted. */
  opened = 0;
  /** Endpoints of connections that were closed, one entry per connection. */
  readonly closed: string[] = [];
  readonly shutdown = new Shutdown({graceMs: 8000});
  /** Set before {@link begin}: bounds what is held. */
  memory: HeldBytes | undefined;
  /** Set before {@link begin}: see {@link ExchangeContext}. */
  unreadBodyTimeoutMs: number | undefined;
  maxBodyBytes = 1000;
  readonly metrics = new GatewayMetrics();
  private readonly servers: Array<http.Server | net.Server> = [];
  private readonly sockets = new Set<Socket>();
  private readonly endpoints = new Map<string, net.Server>();
  private readonly ports = new Map<string, AddressInfo>();
  private readonly socketsOf = new Map<string, Set<Socket>>();
  private port = 0;
  private handler: RequestHandler | undefined;

  static async start(
    route: Partial<Route>,
    scripts: readonly Script[],
  ): Promise<TestProxy> {
    const proxy = new TestProxy();
    await proxy.begin(route, scripts);
    return proxy;
  }

  /** Starts a proxy that was created before, so that its scripts can use it. */
  async begin(
    route: Partial<Route>,
    scripts: readonly Script[],
  ): Promise<void> {
    await this.listen();
    for (const [index, script] of scripts.entries()) {
      await this.addEndpoint(`endpoint-${index}`, script);
    }
    this.configure(route);
  }

  nowMs(): number {
    return performance.now() + this.skippedMs;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    for (const server of this.servers) server.close();
  }

  /** Puts one route in force, whose service has these properties. */
  configure(changes: Partial<Route>, service: Partial<Service> = {}): void {
    const route: Route = {
      id: brandAs<RouteId>('route'),
      host: 'test',
      pathPrefix: '/r/',
      kind: 'non_idempotent',
      targets: [{service: SERVICE, weight: 1}],
      timeoutMs: 5000,
      latencyTargetMs: 500,
      pauseTargetMs: 300,
      tier: 0,
      maxAttempts: 1,
      isPublic: true,
      isResumable: false,
      ...changes,
    };
    this.state.table = new RouteTable({
      version: 1,
      routes: [route],
      services: [
        {id: SERVICE, engine: undefined, scaling: undefined, ...service},
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: this.maxBodyBytes,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
      clientAccounts: undefined,
    });
  }

  /** Sends a request as a caller does. */
  call(
    id: string,
    options: {
      readonly path?: string;
      readonly body?: string;
      readonly headers?: Record<string, string>;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<CallerAnswer> {
    const {path = '/r/x', body, headers, signal} = options;
    return new Promise((resolve, reject) => {
      const request = http.request(
        {
          host: '127.0.0.1',
          port: this.port,
          path,
          method: body === undefined ? 'GET' : 'POST',
          headers: {Host: 'test', 'X-Request-Id': id, ...headers},
          agent: false,
          signal,
        },
        response => {
          let text = '';
          const settle = () =>
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: text,
              isComplete: response.complete,
            });
          response.on('data', (data: Buffer) => (text += data.toString()));
          response.on('error', settle);
          response.on('close', settle);
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  get callersPort(): number {
    return this.port;
  }

  /** Ends all requests in progress, as an instance does that stops. */
  giveUpAll(): void {
    this.handler?.giveUpAll('test');
  }

  /** Lets an endpoint refuse connections; open ones stay. */
  stopListening(id: string): void {
    this.endpoints.get(id)?.close();
  }

  /** Ends an endpoint with all its connections, as a crash does. */
  crash(id: string): void {
    this.endpoints.get(id)?.close();
    for (const socket of this.socketsOf.get(id) ?? []) socket.resetAndDestroy();
  }

  /** Starts a crashed endpoint again at its address, under another id. */
  async restart(id: string, newId: string, script: Script): Promise<void> {
    const {port} = this.ports.get(id)!;
    this.state.directory.apply(
      [{kind: 'removed', id: brandAs<EndpointId>(id)}],
      this.nowMs(),
    );
    await this.addEndpoint(newId, script, port);
  }

  /** Starts another, unlisted endpoint at an address; open connections stay. */
  async replaceAtAddress(id: string, script: Script): Promise<void> {
    this.stopListening(id);
    const {port} = this.ports.get(id)!;
    await this.startEndpoint(`${id}-next`, script, port);
  }

  async addEndpoint(id: string, script: Script, port = 0): Promise<void> {
    const address = await this.startEndpoint(id, script, port);
    this.list(id, address);
  }

  /** @returns its address. */
  private async startEndpoint(
    id: string,
    script: Script,
    port: number,
  ): Promise<string> {
    const sockets = new Set<Socket>();
    this.socketsOf.set(id, sockets);
    const server = net.createServer(socket => {
      this.opened += 1;
      this.sockets.add(socket);
      sockets.add(socket);
      let text = '';
      socket.on('data', data => {
        text += data.toString('latin1');
        if (!isWholeRequest(text)) return;
        const request = text;
        text = '';
        this.received.push({endpoint: id, request});
        script(socket, request);
      });
      socket.on('error', () => undefined);
      socket.on('close', () => this.closed.push(id));
    });
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    this.servers.push(server);
    this.endpoints.set(id, server);
    const address = server.address() as AddressInfo;
    this.ports.set(id, address);
    return `127.0.0.1:${address.port}`;
  }

  /** Software version under which an endpoint is listed. */
  versionOf: (id: string) => string = () => 'v1';

  /** Lists an endpoint under an address. */
  list(id: string, address: string): void {
    const endpoint = {
      id: brandAs<EndpointId>(id),
      service: SERVICE,
      address: brandAs<EndpointAddress>(address),
      dataCentre: DATA_CENTRE,
      softwareVersion: brandAs<SoftwareVersion>(this.versionOf(id)),
      capacity: 4,
      isLeaving: false,
      isCheap: false,
      bornEpochMs: 1,
    };
    this.state.directory.apply([{kind: 'listed', endpoint}], 0);
    const {softwareVersion} = endpoint;
    const published = this.state.versions.find(SERVICE);
    this.state.versions.learn(SERVICE, [...published, softwareVersion]);
  }

  private async listen(): Promise<void> {
    const {logger} = this.log;
    const {metrics, protocol} = this;
    const connectTimeout = new ConnectTimeout({maxMs: 1000});
    const connector = new EndpointConnector({
      state: this.state,
      direct: new DirectConnector({
        state: this.state,
        connectTimeout,
        metrics,
        logger,
        nowMs: () => this.nowMs(),
        open: async options => {
          await new Promise(done => setTimeout(done, this.connectDelayMs));
          return FreshConnection.open(options);
        },
      }),
      forwarded: undefined,
      nowMs: () => this.nowMs(),
    });
    const platform = new MemoryPlatform();
    const parts = new PartGuard({
      suspects: this.state.suspects.parts,
      platform,
      logger,
      metrics,
      nowMs: () => this.nowMs(),
    });
    const handler = (this.handler = new RequestHandler({
      state: this.state,
      protocol,
      dataCentre: DATA_CENTRE,
      crashes: new CrashReporter({
        state: this.state,
        parts,
        instance: brandAs<InstanceId>('test'),
        incarnation: '1',
        logger,
        metrics,
        nowMs: () => this.nowMs(),
        publish: () => undefined,
      }),
      logger,
      metrics,
      nowMs: () => this.nowMs(),
      connectTimeout,
      connector,
      probes: new EndpointProbes({
        connector,
        identify: identifyBy({state: this.state, protocol}),
        hasNewOwner: each => this.state.directory.hasNewOwner(each),
        onReplaced: each => this.state.directory.noteGone(each, this.nowMs()),
      }),
      mover: new StreamMover({
        state: this.state,
        client: new MemoryClient({connector, protocol, connectTimeout}),
        metrics,
        logger,
        nowMs: () => this.nowMs(),
      }),
      streams: new Streams({
        platform,
        state: this.state,
        logger,
        nowMs: () => this.nowMs(),
      }),
      onBegun: admission => this.begun.push(admission),
      shutdown: this.shutdown,
      unreadBodyTimeoutMs: this.unreadBodyTimeoutMs,
      memory:
        this.memory &&
        new MemoryGuard({
          ledger: this.memory,
          metrics,
          logger,
          nowMs: () => this.nowMs(),
        }),
      earliestArrivalMs: () => this.nowMs() - this.heldUpMs,
    }));
    const server = http.createServer(
      {maxHeaderSize: MAX_HEADER_BYTES},
      (request, response) => {
        this.onRequest();
        void handler.handle(request, response);
      },
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    server.on('connection', (socket: Socket) => {
      handler.connections.noteOpened(socket);
      this.sockets.add(socket);
    });
    this.servers.push(server);
    this.port = (server.address() as AddressInfo).port;
  }
}

function isWholeRequest(text: string): boolean {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const length = /content-length: (\d+)/i.exec(text)?.[1] ?? '0';
  return text.length >= end + 4 + Number(length);
}
