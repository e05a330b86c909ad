import test, {type ExecutionContext} from 'ava';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {RoutingState} from '../routing_state.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {NoOutput} from '../test_support/no_output.js';
import {Relays} from './relays.js';
import {readSeat} from './seat_rows.js';

/** The instances' clocks run so much faster than the test's. */
const CLOCK_RATE = 2;
const LOOK_EVERY_MS = 50;

/** Instances of one data centre that start at once; nobody has counted them. */
class StartedInstances {
  readonly platform = new MemoryPlatform();
  readonly relays: Relays[] = [];
  instances: number | undefined;

  async start(t: ExecutionContext, count: number): Promise<void> {
    const ports = await pickFreePorts(count);
    for (const [index, port] of ports.entries()) {
      const relays = this.make(`akl-a-${index}`, `127.0.0.1:${port}`);
      relays.copyOf('shared').replace([], 1);
      relays.start();
      this.relays.push(relays);
    }
    const timer = setInterval(() => this.learnSeats(), LOOK_EVERY_MS);
    t.teardown(async () => {
      clearInterval(timer);
      await Promise.all(this.relays.map(each => each.stop()));
    });
  }

  countServing(): number {
    const snapshots = this.relays.map(each => each.snapshot());
    return snapshots.filter(each => 'isRelay' in each && each.isRelay).length;
  }

  countSeats(): number {
    return [...this.platform.rows.values()].filter(
      ({key, value}) => key.startsWith('shared/relay/') && value !== null,
    ).length;
  }

  private make(instance: string, address: string): Relays {
    const {logger} = new NoOutput();
    return new Relays({
      instance: brandAs<InstanceId>(instance),
      dataCentre: brandAs<DataCentreId>('akl-a'),
      dataCentres: 1,
      strength: 1,
      address,
      inForceWithinMs: 4000,
      platform: this.platform,
      loads: new RoutingState({ratio: 0, windowMs: 1000, slack: 0}).loads,
      metrics: new GatewayMetrics(),
      logger,
      nowMs: () => performance.now() * CLOCK_RATE,
      countInstances: () => this.instances,
      onEstimate: instances => {
        this.instances ??= instances;
      },
    });
  }

  private learnSeats(): void {
    for (const {key, version, value} of this.platform.rows.values()) {
      const data =
        value === null ? undefined : Buffer.from(JSON.stringify(value));
      const seat = readSeat({key: key.replace('shared/', ''), version, data});
      if (seat === undefined) continue;
      for (const relays of this.relays) relays.learnSeat(seat);
    }
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 10));
}

test('one relay serves before anybody has counted the instances', async t => {
  // Guards against each of many instances polling the store during the start.
  const started = new StartedInstances();
  await started.start(t, 8);
  await waitUntil(() => started.instances !== undefined);
  t.true(started.instances! >= 6, `${started.instances}`);
  t.is(started.countServing(), 1);
});

test('a few instances give the relay up and leave no seat taken', async t => {
  // Guards against relays that poll more often than their two followers would.
  const started = new StartedInstances();
  await started.start(t, 2);
  await waitUntil(() => started.instances !== undefined);
  t.true(started.instances! < 6, `${started.instances}`);
  await waitUntil(() => started.countServing() === 0);
  await waitUntil(() => started.countSeats() === 0);
  t.pass();
});
