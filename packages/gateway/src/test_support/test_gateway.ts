/**
 * A complete gateway on loopback whose tables and endpoints a test controls.
 */

import {
  ABSENT,
  composeStoreVersion,
  eraOf,
  numberOf,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import http from 'node:http';
import {BoundedOutput} from '@snipestage/log/bounded_output.js';
import type {EndpointChange} from '@snipestage/routing/endpoint_directory.js';
import type {
  CallerLimits,
  Route,
  RouteId,
  RoutingConfiguration,
} from '@snipestage/routing/route.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {listenOn} from '@snipestage/stand_ins/http/listen.js';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type InstanceId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {Gateway} from '../gateway.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {RowDecoder, type OperatorRow} from '../row_decoder.js';
import {
  FollowedTable,
  type FollowedRow,
  type TableReading,
} from '../table_follower.js';
import {MemoryPlatform} from './memory_platform.js';
import {CapturedLog} from './captured_log.js';
import {PlainProtocol} from './plain_protocol.js';

/** Allows long answers; its requests must not be repeated. */
export const SLOW_ROUTE: Route = {
  id: brandAs<RouteId>('slow'),
  host: 'slow.example',
  pathPrefix: '/',
  kind: 'non_idempotent',
  targets: [{service: brandAs<ServiceId>('s'), weight: 1}],
  timeoutMs: 10_000,
  latencyTargetMs: 10_000,
  pauseTargetMs: undefined,
  tier: 1,
  maxAttempts: 1,
  isPublic: true,
  isResumable: false,
};

/** A table to which a test adds rows; a poll waits for the next one. */
export class TestTable extends FollowedTable {
  private version = composeStoreVersion({era: 0, number: 1});
  private rows: FollowedRow[] = [];
  private wake: (() => void) | undefined;

  constructor(readonly name: string) {
    super();
  }

  put(key: string): void {
    this.add(key, Buffer.from(key));
  }

  /** Goes back to rows of an older copy; a new era begins. */
  setBack(keys: readonly string[]): void {
    const era = eraOf(this.version) + 1;
    this.version = composeStoreVersion({era, number: 1});
    const {version} = this;
    this.rows = keys.map(key => ({key, version, data: Buffer.from(key)}));
    this.wake?.();
  }

  remove(key: string): void {
    this.rows = this.rows.filter(row => row.key !== key);
    this.add(key, undefined);
  }

  private add(key: string, data: Buffer | undefined): void {
    const era = eraOf(this.version);
    const number = numberOf(this.version) + 1;
    this.version = composeStoreVersion({era, number});
    this.rows.push({key, version: this.version, data});
    this.wake?.();
  }

  readAll(): Promise<TableReading> {
    return Promise.resolve(this.reading(ABSENT));
  }

  async waitForChanges(since: StoreVersion): Promise<TableReading> {
    if (since === this.version) {
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    if (eraOf(since) < eraOf(this.version)) return {kind: 'history_gone'};
    return this.reading(since);
  }

  private reading(since: StoreVersion): TableReading {
    const rows = this.rows.filter(({version}) => version > since);
    return {kind: 'rows', rows, version: this.version, clock: undefined};
  }
}

const EVACUATION_PREFIX = 'evacuate/';

/**
 * Decodes rows by their keys: `1`, `2`, ... are versions of the configuration,
 * `evacuate/<data centre>` are evacuations, and `<id>@<address>@<version>`,
 * `<id>@<address>` or only an address are endpoints.
 */
class TestDecoder extends RowDecoder {
  constructor(
    private readonly routes: readonly Route[],
    private readonly limits: Partial<CallerLimits>,
  ) {
    super();
  }

  decodeOperatorRow({key, data}: FollowedRow): OperatorRow {
    if (key.startsWith(EVACUATION_PREFIX)) {
      const id = key.slice(EVACUATION_PREFIX.length);
      const dataCentre = brandAs<DataCentreId>(id);
      return {kind: 'evacuation', dataCentre, isEvacuated: data !== undefined};
    }
    return {kind: 'configuration', configuration: this.configurationOf(key)};
  }

  private configurationOf(key: string): RoutingConfiguration {
    return {
      version: Number(key),
      routes: this.routes,
      services: [],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1000,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
        ...this.limits,
      },
      clientAccounts: undefined,
    };
  }

  decodeEndpoint({key}: FollowedRow): EndpointChange {
    const [id, address = id, version = 'v1'] = key.split('@');
    return {
      kind: 'listed',
      endpoint: {
        id: brandAs<EndpointId>(id),
        service: brandAs<ServiceId>('s'),
        address: brandAs<EndpointAddress>(address),
        dataCentre: brandAs<DataCentreId>('akl-a'),
        softwareVersion: brandAs<SoftwareVersion>(version),
        capacity: 1,
        isLeaving: false,
        isCheap: false,
        bornEpochMs: 1,
      },
    };
  }
}

const PUBLISH_WITHIN_MS = 30;

/** Options of {@link startGateway}; defaults in the brackets. */
export interface TestGatewayOptions {
  /** Grace time of a stop (4,000 ms). */
  readonly graceMs?: number;
  /** Routes of each version of the configuration ({@link SLOW_ROUTE}). */
  readonly routes?: readonly Route[];
  /** Limits on callers that differ from the usual ones (none). */
  readonly limits?: Partial<CallerLimits>;
  /** Name of the instance (`one`). */
  readonly instance?: string;
  /** Store of the instance's own rows (one of its own). */
  readonly platform?: MemoryPlatform;
}

/**
 * Starts a gateway without a configuration.
 *
 * @example
 * const {gateway, configuration} = await startGateway({graceMs: 4000});
 * configuration.put('1');
 */
export async function startGateway(options: TestGatewayOptions = {}) {
  const {graceMs = 4000, routes = [SLOW_ROUTE], limits = {}} = options;
  const {instance = 'one', platform = new MemoryPlatform()} = options;
  const [callers, readiness, forwarding] = await pickFreePorts(3);
  const configuration = new TestTable('configuration');
  const endpoints = new TestTable('endpoints');
  const {logger, lines} = new CapturedLog();
  const gateway = new Gateway({
    settings: {
      instance: brandAs<InstanceId>(instance),
      dataCentre: brandAs<DataCentreId>('akl-a'),
      callersAddress: `127.0.0.1:${callers}`,
      readinessAddress: `127.0.0.1:${readiness}`,
      metricsAddress: undefined,
      retry: {ratio: 0.2, windowMs: 10_000, slack: 50},
      changes: {knownWithinMs: 500, inForceWithinMs: 200},
      relays: {address: undefined, dataCentres: 1, strength: 1},
      forwarding: {
        address: `127.0.0.1:${forwarding}`,
        publishWithinMs: PUBLISH_WITHIN_MS,
      },
      memory: {limitBytes: 250_000_000},
      shutdown: {graceMs},
      lease: {termMs: 3000},
      usage: {windowMs: 5000, dueAfterMs: 10_000, tolerance: 0.05},
      duties: {reportsUsage: false, ordersEndpoints: false},
    },
    platform,
    protocol: new PlainProtocol(),
    decoder: new TestDecoder(routes, limits),
    tables: {
      configuration,
      endpoints,
      shared: new TestTable('shared'),
    },
    logger,
    output: new BoundedOutput({fd: 2}),
    metrics: new GatewayMetrics(),
  });
  await gateway.start();
  return {gateway, configuration, endpoints, callers, readiness, lines};
}

/** Sends a GET request; rejects unless the complete answer was received. */
export function get(
  port: number,
  agent?: http.Agent,
  headers: http.OutgoingHttpHeaders = {},
): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    http
      .get(
        {host: '127.0.0.1', port, path: '/x', agent: agent ?? false, headers},
        response => {
          response.resume();
          response.on('end', () => resolve(response));
          response.on('error', reject);
        },
      )
      .on('error', reject);
  });
}

/** Polls until a condition holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 10));
}

/** An endpoint of the gateway's service, with a scripted answer. */
export class TestEndpoint {
  /** Ids of the requests that it has begun. */
  readonly begun: string[] = [];
  port = 0;
  private readonly server: http.Server;

  constructor(
    answer: (
      response: http.ServerResponse,
      id: string,
      request: http.IncomingMessage,
    ) => void,
  ) {
    this.server = http.createServer((request, response) => {
      const id = String(request.headers['x-request-id']);
      this.begun.push(id);
      answer(response, id, request);
    });
  }

  async start(): Promise<void> {
    this.port = await listenOn(this.server, 0, '127.0.0.1');
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
