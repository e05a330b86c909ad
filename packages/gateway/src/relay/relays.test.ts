import {composeStoreVersion} from '@snipestage/types/store_version.js';
import test, {type ExecutionContext} from 'ava';
import {ChangeBudget} from '@snipestage/routing/change_budget.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {EndpointMonitor} from '@snipestage/routing/endpoint_monitor.js';
import {LoadView} from '@snipestage/routing/load_view.js';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {Relays} from './relays.js';
import {readSlot} from './slot_rows.js';

/** Factor by which the instances' clocks run faster than the test's. */
const CLOCK_RATE = 2;
const LEARN_SLOTS_EVERY_MS = 50;

/**
 * Instances of one data centre that start together; their number is unknown.
 */
class StartedInstances {
  readonly platform = new MemoryPlatform();
  readonly relays: Relays[] = [];
  readonly views: LoadView[] = [];
  readonly monitors: EndpointMonitor[] = [];
  instances: number | undefined;

  async start(t: ExecutionContext, count: number): Promise<void> {
    const ports = await pickFreePorts(count);
    for (const [index, port] of ports.entries()) {
      const relays = this.make(`akl-a-${index}`, `127.0.0.1:${port}`);
      relays
        .copyOf('shared')
        .replace([], composeStoreVersion({era: 0, number: 1}));
      relays.start();
      this.relays.push(relays);
    }
    const timer = setInterval(() => this.learnSlots(), LEARN_SLOTS_EVERY_MS);
    t.teardown(async () => {
      clearInterval(timer);
      await Promise.all(this.relays.map(each => each.stop()));
    });
  }

  countServing(): number {
    const snapshots = this.relays.map(each => each.snapshot());
    return snapshots.filter(each => 'isRelay' in each && each.isRelay).length;
  }

  countSlots(): number {
    return [...this.platform.rows.values()].filter(
      ({key, value}) => key.startsWith('shared/relay/') && value !== null,
    ).length;
  }

  private makeView(): LoadView {
    const monitor = new EndpointMonitor();
    const view = new LoadView({monitor, isShared: () => true});
    this.monitors.push(monitor);
    this.views.push(view);
    return view;
  }

  private make(instance: string, address: string): Relays {
    const {logger} = new CapturedLog();
    return new Relays({
      instance: brandAs<InstanceId>(instance),
      dataCentre: brandAs<DataCentreId>('akl-a'),
      dataCentres: 1,
      strength: 1,
      address,
      budget: new ChangeBudget({knownWithinMs: 4000, inForceWithinMs: 4000}),
      timeline: new StoreTimeline(),
      platform: this.platform,
      loads: this.makeView(),
      metrics: new GatewayMetrics(),
      logger,
      nowMs: () => performance.now() * CLOCK_RATE,
      countInstances: () => this.instances,
      onEstimate: instances => {
        this.instances ??= instances;
      },
    });
  }

  private learnSlots(): void {
    for (const {key, version, value} of this.platform.rows.values()) {
      const data =
        value === null ? undefined : Buffer.from(JSON.stringify(value));
      const slot = readSlot({key: key.replace('shared/', ''), version, data});
      if (slot === undefined) continue;
      for (const relays of this.relays) relays.learnSlot(slot);
    }
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 10));
}

test('one relay serves before the number of instances is known', async t => {
  // Guards against each of many instances polling the store during the start.
  const started = new StartedInstances();
  await started.start(t, 8);
  await waitUntil(() => started.instances !== undefined);
  t.true(started.instances! >= 6, `${started.instances}`);
  t.is(started.countServing(), 1);
});

test('a few instances stop relaying and release their slots', async t => {
  // Guards against relays that make more polls than their two followers would.
  const started = new StartedInstances();
  await started.start(t, 2);
  await waitUntil(() => started.instances !== undefined);
  t.true(started.instances! < 6, `${started.instances}`);
  await waitUntil(() => started.countServing() === 0);
  await waitUntil(() => started.countSlots() === 0);
  t.pass();
});

test('all instances of a data centre learn the load that an engine reported to one', async t => {
  // Guards against full engines that look idle to all instances but one.
  const started = new StartedInstances();
  await started.start(t, 8);
  await waitUntil(() => started.instances !== undefined);
  const endpoint = brandAs<EndpointId>('engine');
  const load = {running: 20, waiting: 4, capacity: 24};
  const nowMs = () => performance.now() * CLOCK_RATE;
  const isKnown = (monitor: EndpointMonitor) =>
    monitor.estimateLoad(endpoint, nowMs()) > 0;
  await waitUntil(() => {
    // Answers keep coming; each is exchanged once.
    started.views[3].noteOwn({endpoint, load, atMs: nowMs()});
    return started.monitors.every(isKnown);
  });
  t.true(started.monitors[0].hasRecentReports(nowMs()));
});
