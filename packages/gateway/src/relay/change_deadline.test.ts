import {ABSENT, composeStoreVersion} from '@snipestage/types/store_version.js';
import type {StoreVersion} from '@snipestage/types/store_version.js';
import test, {type ExecutionContext} from 'ava';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {ChangeBudget} from '@snipestage/routing/change_budget.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import {StoreRecovery} from '../store_recovery.js';
import {
  FollowedTable,
  TableFollower,
  type FollowedRow,
  type FollowPace,
  type RowsReading,
  type TableReading,
} from '../table_follower.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {makeRecordBatcher} from '../test_support/make_record_batcher.js';
import {RelayClient} from './relay_client.js';
import {RelayedFeed} from './relayed_feed.js';
import {RelayedTable} from './relayed_table.js';
import {RelayServer} from './relay_server.js';
import {TableCopy} from './table_copy.js';
import {WriteBatcher} from './write_batcher.js';

/** Time within which a change accepted by the store has to be in force. */
const IN_FORCE_WITHIN_MS = 3000;
const BUDGET = new ChangeBudget({
  knownWithinMs: 4000,
  inForceWithinMs: IN_FORCE_WITHIN_MS,
});
const RELAY_PACE: FollowPace = {
  waitMs: BUDGET.relayWaitMs,
  gatherMs: BUDGET.relayGatherMs,
};
const OWN_PACE: FollowPace = {
  waitMs: BUDGET.pollMs,
  includesPause: true,
  gatherMs: BUDGET.gatherMs,
  initialDelayMs: 0,
};
const FRESH_FOR_MS = BUDGET.freshForMs;
/** The store's clock is ahead of the instances' by this. */
const AHEAD_MS = 50_000;
const REFUSED: TableReading = {kind: 'unavailable', reason: 'status 429'};
const TIMED_OUT: TableReading = {kind: 'unavailable', reason: 'timeout'};

function sleep(delayMs: number): Promise<void> {
  return new Promise(done => setTimeout(done, delayMs));
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

/** A sound store with one table, whose rows are named by their numbers. */
class TestStore {
  readonly acceptedAtMs = new Map<StoreVersion, number>();
  private number = 1;
  private readonly waiting = new Set<() => void>();

  get version(): StoreVersion {
    return composeStoreVersion({era: 0, number: this.number});
  }

  accept(): StoreVersion {
    this.number += 1;
    this.acceptedAtMs.set(this.version, performance.now());
    for (const wake of [...this.waiting]) wake();
    return this.version;
  }

  /** Resolves at the next change, at the latest after the wait. */
  async waitForChange(since: StoreVersion, waitMs: number): Promise<void> {
    if (this.version > since) return;
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(finish);
    });
  }

  rowsSince(since: StoreVersion): FollowedRow[] {
    return [...this.acceptedAtMs.keys()]
      .filter(version => version > since)
      .map(version => ({key: 'row', version, data: Buffer.from('x')}));
  }
}

/** How the store answers an instance. */
interface StoreLink {
  /** Time that answers are under way. */
  delayMs: number;
  /** Polls that begin are refused, or never answered. */
  fault: 'none' | 'refuses' | 'silent';
}

/** Reads a {@link TestStore}; its polls time out. */
class TestStoreTable extends FollowedTable {
  readonly name = 'configuration';
  polls = 0;

  constructor(
    private readonly store: TestStore,
    private readonly link: StoreLink,
  ) {
    super();
  }

  async readAll(): Promise<TableReading> {
    return this.readingSince(ABSENT);
  }

  async waitForChanges(
    since: StoreVersion,
    waitMs: number,
  ): Promise<TableReading> {
    this.polls += 1;
    const {fault} = this.link;
    if (fault === 'refuses') return REFUSED;
    const timedOut = sleep(waitMs + BUDGET.callMarginMs).then(() => TIMED_OUT);
    if (fault === 'silent') return timedOut;
    return Promise.race([this.answer(since, waitMs), timedOut]);
  }

  private async answer(
    since: StoreVersion,
    waitMs: number,
  ): Promise<TableReading> {
    const sentAtMs = performance.now();
    await this.store.waitForChange(since, waitMs);
    const reading = this.readingSince(since);
    const storeMs = performance.now() + AHEAD_MS;
    await sleep(this.link.delayMs);
    const clock = {storeMs, sentAtMs, receivedAtMs: performance.now()};
    return {...reading, clock};
  }

  private readingSince(since: StoreVersion): RowsReading {
    const {version} = this.store;
    const rows = this.store.rowsSince(since);
    return {kind: 'rows', rows, version, clock: undefined};
  }
}

/** An instance that follows the store, as far as it can by way of a relay. */
class FollowingInstance {
  readonly link: StoreLink = {delayMs: 1, fault: 'none'};
  readonly table: TestStoreTable;
  readonly feed = new RelayedFeed(FRESH_FOR_MS);
  /** Shared by the followers of all tables. */
  readonly recovery = new StoreRecovery();
  private readonly inForceAtMs = new Map<StoreVersion, number>();

  constructor(private readonly store: TestStore) {
    this.table = new TestStoreTable(store, this.link);
  }

  start(t: ExecutionContext): void {
    const take = (rows: readonly FollowedRow[]) => this.noteInForce(rows);
    const follower = new TableFollower({
      table: new RelayedTable(this.table, this.feed, () => performance.now()),
      listener: {replaced: take, changed: take, disturbed: () => undefined},
      logger: new CapturedLog().logger,
      pace: () => OWN_PACE,
      recovery: this.recovery,
      firstBackoffMs: BUDGET.firstBackoffMs,
      random: () => 1,
    });
    follower.start();
    t.teardown(() => follower.stop());
  }

  /** Time from the acceptance of a version until it was in force. */
  async delayOf(version: StoreVersion): Promise<number> {
    await waitUntil(() => this.inForceAtMs.has(version));
    const acceptedAtMs = this.store.acceptedAtMs.get(version)!;
    return this.inForceAtMs.get(version)! - acceptedAtMs;
  }

  /** Passes on the store's present state, as a relay does that just read it. */
  confirm(since: StoreVersion): void {
    const {version} = this.store;
    const rows = this.store.rowsSince(since);
    this.feed.take({since, version, rows}, performance.now());
  }

  /** Confirms as often as a sound relay does. */
  confirmRegularly(t: ExecutionContext): void {
    let since = this.store.version;
    const timer = setInterval(() => {
      this.confirm(since);
      since = this.store.version;
    }, RELAY_PACE.waitMs);
    t.teardown(() => clearInterval(timer));
  }

  private noteInForce(rows: readonly FollowedRow[]): void {
    for (const {version} of rows) {
      this.inForceAtMs.set(version, performance.now());
    }
  }
}

function startInstance(t: ExecutionContext) {
  const store = new TestStore();
  const instance = new FollowingInstance(store);
  instance.confirm(store.version);
  instance.start(t);
  return {store, instance};
}

/** An update as its follower has dated it. */
interface DatedUpdate {
  readonly version: StoreVersion;
  readonly asOfMs: number;
}

/** An update dated later than the acceptance of a version that it lacks. */
interface MisdatedUpdate extends DatedUpdate {
  readonly lacks: StoreVersion;
  readonly byMs: number;
}

/** A relay and one follower of it, with the store and the links of both. */
class RelayChain {
  readonly store = new TestStore();
  readonly relayLink: StoreLink = {delayMs: 1, fault: 'none'};
  readonly follower = new FollowingInstance(this.store);
  readonly updates: DatedUpdate[] = [];
  private readonly timeline = new StoreTimeline();
  /** Time that updates are under way to the follower. */
  updateDelayMs = 0;
  /** A frozen relay sends nothing, and its connections stay open. */
  isRelayFrozen = false;

  async start(t: ExecutionContext): Promise<void> {
    const nowMs = performance.now();
    this.timeline.note({
      storeMs: nowMs + AHEAD_MS,
      sentAtMs: nowMs,
      receivedAtMs: nowMs,
    });
    const [port] = await pickFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const {logger} = new CapturedLog();
    const copies = {
      configuration: new TableCopy(),
      endpoints: new TableCopy(),
      shared: new TableCopy(),
    };
    const server = new RelayServer({
      address,
      copies,
      writes: new WriteBatcher(new MemoryPlatform()),
      records: makeRecordBatcher(new MemoryPlatform()),
      onLoads: () => undefined,
      logger,
    });
    await server.start();
    const copy = copies.configuration;
    const ignore = () => undefined;
    const relay = new TableFollower({
      table: new TestStoreTable(this.store, this.relayLink),
      listener: {replaced: ignore, changed: ignore, disturbed: ignore},
      logger,
      pace: () => RELAY_PACE,
      onReading: ({rows, version, clock}, isWhole) => {
        if (this.isRelayFrozen) return;
        if (isWhole) copy.replace(rows, version);
        else copy.apply(rows, version);
        server.confirm('configuration', clock?.storeMs);
      },
    });
    const client = this.connect(address);
    relay.start();
    this.follower.start(t);
    t.teardown(() => {
      relay.stop();
      client.close();
      server.stop();
    });
    await waitUntil(() => this.follower.feed.isFresh(performance.now()));
  }

  /** Resolves when the follower has got another update. */
  async nextUpdate(): Promise<void> {
    const count = this.updates.length;
    await waitUntil(() => this.updates.length > count);
  }

  findMisdated(): MisdatedUpdate[] {
    return this.updates.flatMap(update =>
      [...this.store.acceptedAtMs]
        .filter(([accepted]) => accepted > update.version)
        .map(([lacks, atMs]) => ({
          ...update,
          lacks,
          byMs: update.asOfMs - atMs,
        }))
        .filter(({byMs}) => byMs > 0),
    );
  }

  private connect(address: string): RelayClient {
    return new RelayClient({
      address,
      request: {
        kind: 'follow',
        instance: brandAs<InstanceId>('follower'),
        known: {
          configuration: this.store.version,
          endpoints: ABSENT,
          shared: ABSENT,
        },
      },
      silentAfterMs: 10_000,
      onChanges: (_table, changes, storeMs = Number.NaN) => {
        const nowMs = performance.now();
        const asOfMs = this.timeline.dateOf(storeMs, nowMs) ?? -Infinity;
        setTimeout(() => {
          this.updates.push({version: changes.version, asOfMs});
          this.follower.feed.take(changes, asOfMs);
        }, this.updateDelayMs);
      },
      onLoads: () => undefined,
      onEnd: () => undefined,
    });
  }
}

async function startChain(t: ExecutionContext): Promise<RelayChain> {
  const chain = new RelayChain();
  await chain.start(t);
  return chain;
}

// Guards against a bound that not even a sound relay keeps.
test('a change is in force in time by way of a sound relay', async t => {
  const chain = await startChain(t);
  for (let count = 0; count < 3; count += 1) {
    const delayMs = await chain.follower.delayOf(chain.store.accept());
    t.true(delayMs < IN_FORCE_WITHIN_MS / 2, `${delayMs}`);
    await chain.nextUpdate();
  }
  t.deepEqual(chain.findMisdated(), []);
});

// Guards against a withdrawn key that is honoured as its relay froze.
test('a change is in force in time when the relay freezes before it', async t => {
  const chain = await startChain(t);
  await chain.nextUpdate();
  chain.isRelayFrozen = true;
  const delayMs = await chain.follower.delayOf(chain.store.accept());
  t.true(delayMs < IN_FORCE_WITHIN_MS, `${delayMs}`);
});

// Guards against a withdrawn key that is honoured since the wait for updates outlasts the last confirmation.
test('a change is in force in time when a wait ends before the confirmation expires', async t => {
  const {store, instance} = startInstance(t);
  const before = store.version;
  const first = store.accept();
  instance.confirm(before);
  await instance.delayOf(first);
  // The wait that begins here ends shortly before this confirmation expires.
  await sleep(OWN_PACE.waitMs - FRESH_FOR_MS + 150);
  instance.confirm(first);
  const delayMs = await instance.delayOf(store.accept());
  t.true(delayMs < IN_FORCE_WITHIN_MS, `${delayMs}`);
});

// Guards against a withdrawn key that is honoured after one lost answer.
test('a change is in force in time when the first poll after the expiry gets no answer', async t => {
  const {store, instance} = startInstance(t);
  instance.link.fault = 'silent';
  const next = store.accept();
  await waitUntil(() => instance.table.polls > 0);
  instance.link.fault = 'none';
  const delayMs = await instance.delayOf(next);
  t.true(delayMs < IN_FORCE_WITHIN_MS, `${delayMs}`);
});

// Guards against an old state taken for current as the store's answer was late.
test('an update is not dated later than the answer of the store that it passes on', async t => {
  const chain = await startChain(t);
  await sleep(RELAY_PACE.waitMs / 3);
  await chain.nextUpdate();
  // The first change ends the poll that has begun; its answer lacks the second.
  await sleep(RELAY_PACE.waitMs / 2);
  chain.relayLink.delayMs = 700;
  const first = chain.store.accept();
  await sleep(5);
  const second = chain.store.accept();
  await chain.follower.delayOf(first);
  chain.relayLink.delayMs = 1;
  await chain.follower.delayOf(second);
  t.deepEqual(chain.findMisdated(), []);
});

// Guards against a withdrawn key that is honoured although the relay has sent the change.
test('a change from the relay is in force while a poll of the store gets no answer', async t => {
  const {store, instance} = startInstance(t);
  // The poll at the expiry is answered, the long one after it isn't.
  instance.link.delayMs = 100;
  await waitUntil(() => instance.table.polls > 0);
  instance.link.fault = 'silent';
  await waitUntil(() => instance.table.polls > 1);
  instance.confirmRegularly(t);
  const delayMs = await instance.delayOf(store.accept());
  t.true(delayMs < IN_FORCE_WITHIN_MS / 2, `${delayMs}`);
});

// Guards against a withdrawn key that is honoured while an instance backs off from the store.
test('a change from the relay is in force while the store refuses polls', async t => {
  const {store, instance} = startInstance(t);
  // Another table of the instance was refused first.
  instance.recovery.noteFailure({}, 100);
  instance.link.fault = 'refuses';
  await waitUntil(() => instance.table.polls > 3);
  instance.confirmRegularly(t);
  const delayMs = await instance.delayOf(store.accept());
  t.true(delayMs < IN_FORCE_WITHIN_MS / 2, `${delayMs}`);
});
