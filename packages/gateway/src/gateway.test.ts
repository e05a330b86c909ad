import http from 'node:http';
import test from 'ava';
import {BoundedOutput} from '@snipestage/log/bounded_output.js';
import type {EndpointChange} from '@snipestage/routing/endpoint_directory.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
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
import {freePort} from './test_support/free_port.js';
import {NoOutput} from './test_support/no_output.js';
import {PlainProtocol} from './test_support/plain_protocol.js';

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
      routes: [],
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
  const [callers, readiness] = [await freePort(), await freePort()];
  const configuration = new TestTable('configuration');
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
      endpoints: new TestTable('endpoints'),
      shared: new TestTable('shared'),
    },
    logger: new NoOutput().logger,
    output: new BoundedOutput({fd: 2}),
    metrics: new GatewayMetrics(),
  });
  await gateway.start();
  return {gateway, configuration, callers, readiness};
}

function get(port: number, agent?: http.Agent): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    http
      .get(
        {host: '127.0.0.1', port, path: '/x', agent: agent ?? false},
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
