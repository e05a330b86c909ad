import test from 'ava';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {RouteTable} from '@snipestage/routing/route_table.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type FencingToken,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {CapacityDuty} from './capacity_duty.js';
import type {DutyTerm} from './duty_term.js';
import {RoutingState} from './routing_state.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {CapturedLog} from './test_support/captured_log.js';

const SERVICE = brandAs<ServiceId>('engines');
const DATA_CENTRES = ['a', 'b', 'c'].map(id => brandAs<DataCentreId>(id));
const BATCH_SIZE = 32;

/** A capacity duty for one scaled service, with a clock that tests advance. */
class TestDuty {
  readonly platform = new MemoryPlatform();
  readonly state = new RoutingState({ratio: 0.2, windowMs: 10_000, slack: 50});
  nowMs = 10_000;
  private readonly duty: CapacityDuty;

  constructor() {
    this.state.table = new RouteTable({
      version: 1,
      routes: [],
      services: [
        {
          id: SERVICE,
          engine: {batchSize: BATCH_SIZE, cacheTokens: 1000},
          scaling: {
            minCount: 1,
            maxCount: 8,
            bootMs: 4000,
            cheapPriceRatio: 0.2,
            priceByDataCentre: new Map(),
          },
        },
      ],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      clientAccounts: undefined,
    });
    const signal = new AbortController().signal;
    const term = {
      token: brandAs<FencingToken>(1),
      guard: () => ({mayStillSend: () => true, signal}),
    } as unknown as DutyTerm;
    this.duty = new CapacityDuty({
      platform: this.platform,
      term,
      state: this.state,
      nowMs: () => this.nowMs,
      logger: new CapturedLog().logger,
    });
  }

  /** Lists endpoints of a kind in a data centre. */
  list(dataCentre: DataCentreId, isCheap: boolean, count: number): void {
    for (let index = 0; index < count; index++) {
      const kind = isCheap ? 'cheap' : 'regular';
      const endpoint = {
        id: brandAs<EndpointId>(`${dataCentre}-${kind}-${index}`),
        service: SERVICE,
        address: brandAs<EndpointAddress>('127.0.0.1:1'),
        dataCentre,
        capacity: BATCH_SIZE,
        isLeaving: false,
        isCheap,
        bornEpochMs: 1,
      };
      this.state.directory.apply([{kind: 'listed', endpoint}], 0);
    }
  }

  /** Removes all cheap endpoints of a data centre. */
  remove(dataCentre: DataCentreId): void {
    this.removeSome(dataCentre, true, 0);
  }

  /**
   * Removes endpoints of a kind in a data centre, except for the first `kept`.
   */
  removeSome(dataCentre: DataCentreId, isCheap: boolean, kept: number): void {
    const gone = this.state.directory
      .readAll()
      .filter(
        each => each.isCheap === isCheap && each.dataCentre === dataCentre,
      )
      .slice(kept);
    const changes = gone.map(({id}) => ({kind: 'removed', id}) as const);
    this.state.directory.apply(changes, this.nowMs);
  }

  /** Each endpoint reports that it is half full. */
  loadAll(): void {
    for (const {id} of this.state.directory.readAll()) {
      const load = {running: 16, waiting: 0, capacity: BATCH_SIZE};
      this.state.monitor.noteLoad(id, load, this.nowMs);
    }
  }

  /** Runs a tick; returns its orders as `<data centre> <kind> <count>`. */
  async tick(): Promise<readonly string[]> {
    this.platform.orders.length = 0;
    await this.duty.tick();
    return this.platform.orders.map(
      ({dataCentre, kind, targetCount}) =>
        `${dataCentre} ${kind} ${targetCount}`,
    );
  }
}

async function startDuty(): Promise<TestDuty> {
  const world = new TestDuty();
  for (const dataCentre of DATA_CENTRES) world.list(dataCentre, false, 4);
  // The first tick stores the initial number of endpoints, the second reads it.
  await world.tick();
  await world.tick();
  // Carries out the orders: what was ordered is listed, the rest is removed.
  for (const dataCentre of DATA_CENTRES) {
    world.list(dataCentre, true, 7);
    world.removeSome(dataCentre, false, 1);
  }
  world.nowMs += 10_000;
  return world;
}

test('endpoints refused in one data centre are ordered elsewhere at once', async t => {
  // Guards against repeating a refused order every three seconds while callers
  // wait, after all cheap endpoints of a data centre were reclaimed under load
  // and none are available there. Endpoints ordered at once serve four seconds
  // later.
  const world = await startDuty();
  t.deepEqual(await world.tick(), []);
  world.remove(DATA_CENTRES[2]);
  world.loadAll();
  world.platform.refusals.push({kind: 'refused', reason: 'none available'});
  const orders = await world.tick();
  t.true(orders.includes('c regular 7'), orders.join(', '));
});

test('a reclaim without load leads to no orders but the refused one', async t => {
  const world = await startDuty();
  world.remove(DATA_CENTRES[2]);
  world.platform.refusals.push({kind: 'refused', reason: 'none available'});
  t.deepEqual(await world.tick(), []);
  // The order is repeated after a pause and accepted.
  world.nowMs += 3000;
  t.deepEqual(await world.tick(), ['c cheap 7']);
});
