import test from 'ava';
import {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {ChangeBudget} from '@snipestage/routing/change_budget.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {CrashReporter} from './crash_reporter.js';
import type {Relays} from './relay/relays.js';
import {TableCopy} from './relay/table_copy.js';
import {RoutingState} from './routing_state.js';
import type {RowDecoder} from './row_decoder.js';
import {StateFollower} from './state_follower.js';
import {StoreRecovery} from './store_recovery.js';
import type {Streams} from './streams/streams.js';
import {FollowedTable, type TableReading} from './table_follower.js';
import {CapturedLog} from './test_support/captured_log.js';

/** The store's clock is ahead of the instance's by this. */
const AHEAD_MS = 50_000;

/** Its answers are made at once and are under way for some time. */
class SlowTable extends FollowedTable {
  readonly name = 'slow';

  constructor(private readonly delayMs: number) {
    super();
  }

  readAll(): Promise<TableReading> {
    return this.answer(this.delayMs);
  }

  waitForChanges(_since: StoreVersion, waitMs: number): Promise<TableReading> {
    return this.answer(waitMs + this.delayMs);
  }

  private async answer(delayMs: number): Promise<TableReading> {
    const sentAtMs = performance.now();
    const storeMs = sentAtMs + AHEAD_MS;
    await new Promise(done => setTimeout(done, delayMs));
    const clock = {storeMs, sentAtMs, receivedAtMs: performance.now()};
    const version = composeStoreVersion({era: 0, number: 1});
    return {kind: 'rows', rows: [], version, clock};
  }
}

test('a relay passes on when the store made an answer, however late it came', async t => {
  // Guards against followers that take an old answer of the store for current.
  const confirmed: (number | undefined)[] = [];
  const relays = {
    wrap: (_name: string, table: FollowedTable) => table,
    paceOf: () => undefined,
    copyOf: () => new TableCopy(),
    confirm: (_name: string, storeMs: number | undefined) =>
      confirmed.push(storeMs),
  };
  const {logger} = new CapturedLog();
  const table = new SlowTable(200);
  const follower = new StateFollower({
    tables: {configuration: table, endpoints: table, shared: table},
    decoder: {} as RowDecoder,
    state: new RoutingState({ratio: 0.2, windowMs: 10_000, slack: 9}),
    clock: new AgreedClock(performance.now(), Date.now()),
    crashes: {} as CrashReporter,
    relays: relays as unknown as Relays,
    recovery: new StoreRecovery(),
    streams: {noteEndpoints: () => undefined} as unknown as Streams,
    logger,
    nowMs: () => performance.now(),
    budget: new ChangeBudget({knownWithinMs: 4000, inForceWithinMs: 3000}),
    timeline: new StoreTimeline(),
    onConfiguration: () => undefined,
    onEvacuated: () => undefined,
    onSetBack: () => undefined,
  });
  t.teardown(() => follower.stop());
  const startedAtMs = performance.now();
  follower.start();
  while (confirmed.length < 3) await new Promise(done => setTimeout(done, 10));
  for (const storeMs of confirmed) {
    t.true(storeMs! <= startedAtMs + AHEAD_MS + 100, `${storeMs}`);
  }
  for (const [name, ageMs] of follower.readAges()) {
    t.true(ageMs >= 200 && ageMs < 5000, `${name}: ${ageMs}`);
  }
});
