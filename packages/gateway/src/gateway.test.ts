import http from 'node:http';
import test from 'ava';
import {BoundedOutput} from '@snipestage/log/bounded_output.js';
import type {EndpointChange} from '@snipestage/routing/endpoint_directory.js';
import type {
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
} from '@snipestage/types/ids.js';
import {Gateway} from './gateway.js';
import {GatewayMetrics} from './gateway_metrics.js';
import {RowDecoder} from './state_follower.js';
import {
  FollowedTable,
  type FollowedRow,
  type TableReading,
} from './table_follower.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {NoOutput} from './test_support/no_output.js';
import {PlainProtocol} from './test_support/plain_protocol.js';

const SLOW_ROUTE: Route = {
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

/** A table to which a test adds rows; polls wait until it does. */
class TestTable extends FollowedTable {
  private version = 1;
  private rows: FollowedRow[] = [];
  private wake: (() => void) | undefined;

  constructor(readonly name: string) {
    super();
  }

  put(key: string): void {
    this.version += 1;
    const data = Buffer.from(key);
    this.rows.push({key, version: this.version, data});
    this.wake?.();
  }

  readAll(): Promise<TableReading> {
    return Promise.resolve(this.reading(0));
  }

  async waitForChanges(since: number): Promise<TableReading> {
    if (since === this.version) {
      await new Promise<void>(resolve => (this.wake = resolve));
    }
    return this.reading(since);
  }

  private reading(since: number): TableReading {
    const rows = this.rows.filter(({version}) => version > since);
    return {kind: 'rows', rows, version: this.version, clock: undefined};
  }
}

/** Rows stand for versions `1`, `2`, ... and for endpoints by their address. */
class TestDecoder extends RowDecoder {
  decodeConfiguration({key}: FollowedRow): RoutingConfiguration {
    return {
      version: Number(key),
      routes: [SLOW_ROUTE],
      services: [],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1000,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
      clientAccounts: undefined,
    };
  }

  decodeEndpoint({key}: FollowedRow): EndpointChange {
    return {
      kind: 'listed',
      endpoint: {
        id: brandAs<EndpointId>(key),
        service: brandAs<ServiceId>('s'),
        address: brandAs<EndpointAddress>(key),
        dataCentre: brandAs<DataCentreId>('akl-a'),
        capacity: 1,
        isLeaving: false,
        isCheap: false,
        bornEpochMs: 1,
      },
    };
  }
}

async function startGateway() {
  const [callers, readiness] = await pickFreePorts(2);
  const configuration = new TestTable('configuration');
  const endpoints = new TestTable('endpoints');
  const gateway = new Gateway({
    settings: {
      instance: brandAs<InstanceId>('one'),
      dataCentre: brandAs<DataCentreId>('akl-a'),
      callersAddress: `127.0.0.1:${callers}`,
      readinessAddress: `127.0.0.1:${readiness}`,
      metricsAddress: undefined,
      retry: {ratio: 0.2, windowMs: 10_000},
      changes: {knownWithinMs: 500, inForceWithinMs: 200},
      relays: {address: undefined, dataCentres: 1, strength: 1},
      shutdown: {graceMs: 4000},
      lease: {termMs: 3000},
      usage: {windowMs: 5000, dueAfterMs: 10_000, tolerance: 0.05},
      duties: {reportsUsage: false, ordersEndpoints: false},
    },
    platform: new MemoryPlatform(),
    protocol: new PlainProtocol(),
    decoder: new TestDecoder(),
    tables: {
      configuration,
      endpoints,
      shared: new TestTable('shared'),
    },
    logger: new NoOutput().logger,
    output: new BoundedOutput({fd: 2}),
    metrics: new GatewayMetrics(),
  });
  await gateway.start();
  return {gateway, configuration, endpoints, callers, readiness};
}

function get(
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
        },
      )
      .on('error', reject);
  });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 10));
}

test('an instance is ready with a configuration only, and not while it stops', async t => {
  // The balancer sends callers to whoever says ready. Without a configuration
  // they would be told that nothing exists; an instance that stops and still
  // says ready would be sent new ones until it is gone.
  const {gateway, configuration, callers, readiness} = await startGateway();
  t.is((await get(readiness)).statusCode, 503);
  t.is((await get(callers)).statusCode, 503);
  configuration.put('1');
  await waitUntil(() => gateway.isReady);
  t.is((await get(readiness)).statusCode, 200);
  t.is((await get(callers)).statusCode, 404);
  const agent = new http.Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  t.is((await get(callers, agent)).headers.connection, 'keep-alive');
  const stopped = gateway.stop();
  t.is((await get(readiness)).statusCode, 503);
  // The balancer has not noticed yet: whoever it sends is served, and told that
  // the connection ends with the answer.
  const answer = await get(callers, agent);
  t.is(answer.statusCode, 404);
  t.is(answer.headers.connection, 'close');
  await stopped;
  await t.throwsAsync(get(callers), {code: 'ECONNREFUSED'});
});

test('an older version never replaces a newer one', async t => {
  // A read of the store comes late. Keys that were withdrawn a moment ago would
  // open again.
  const {gateway, configuration} = await startGateway();
  configuration.put('7');
  await waitUntil(() => gateway.isReady);
  configuration.put('5');
  configuration.put('9');
  await waitUntil(() => gateway.configurationVersion === 9);
  configuration.put('8');
  await new Promise(done => setTimeout(done, 100));
  t.is(gateway.configurationVersion, 9);
  await gateway.stop();
});

/** An endpoint that takes its time with each answer. */
async function startSlowEndpoint(answerAfterMs: number) {
  const begun: string[] = [];
  const server = http.createServer((request, response) => {
    const id = String(request.headers['x-request-id']);
    begun.push(id);
    setTimeout(() => {
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.end('done');
    }, answerAfterMs);
  });
  const port = await listenOn(server, 0, '127.0.0.1');
  return {server, begun, address: `127.0.0.1:${port}`};
}

test('an instance that still works on its last requests takes no new connections', async t => {
  // A long answer keeps an instance that was told to stop from ending. A caller
  // that opens a connection in its last second would see it closed under its
  // request, with an unknown outcome.
  const {gateway, configuration, endpoints, callers} = await startGateway();
  const endpoint = await startSlowEndpoint(3000);
  t.teardown(() => endpoint.server.close());
  configuration.put('1');
  endpoints.put(endpoint.address);
  await waitUntil(() => gateway.isReady);
  const headers = {host: SLOW_ROUTE.host, 'x-request-id': 'last'};
  const last = get(callers, undefined, headers);
  await waitUntil(() => endpoint.begun.length > 0);
  const stopped = gateway.stop();
  const stoppingAtMs = performance.now();
  await waitUntil(() => performance.now() - stoppingAtMs > 2500);
  await t.throwsAsync(get(callers), {code: 'ECONNREFUSED'});
  t.is((await last).statusCode, 200);
  await stopped;
});
