import {mock} from 'node:test';
import test from 'ava';
import {
  ChangeBudget,
  type ChangeTargets,
} from '@snipestage/routing/change_budget.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {composeStoreVersion} from '@snipestage/types/store_version.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {SimulatedStore} from '../test_support/simulated_store.js';
import {
  TableFollower,
  type FollowedTable,
  type FollowPace,
  type RowsReading,
  type TableFollowerOptions,
} from '../table_follower.js';
import {StoreRecovery} from '../store_recovery.js';
import {RelayedFeed} from './relayed_feed.js';
import {RelayedTable} from './relayed_table.js';
import {TableCopy} from './table_copy.js';

/** What disturbs a relay of whose followers one is simulated. */
interface RelayTrouble {
  /** From then on the relay reads and sends nothing. */
  readonly silentFromMs: number;
  /** How long its last updates are on their way. */
  readonly deliveryMs: number;
  /** Whether the follower's first call to the store then gets no answer. */
  readonly losesCall: boolean;
}

interface FollowOptions extends Partial<
  Pick<TableFollowerOptions, 'onReading' | 'onClock' | 'recovery'>
> {
  readonly onNumber?: (number: number) => void;
}

const STEP_MS = 5;
const WAY_MS = 5;
/** The relay has its pace, and confirms regularly. */
const SETTLED_MS = 9000;

/** A store, a relay and a follower of it, on a clock that the test drives. */
class SimulatedChanges {
  private atMs = 0;
  private readonly budget: ChangeBudget;
  private readonly store: SimulatedStore;
  private readonly copy = new TableCopy();
  private readonly feed: RelayedFeed;
  /** Of the follower; the relay's calls date nothing here. */
  private readonly timeline = new StoreTimeline();
  private readonly recovery = new StoreRecovery();
  private readonly followers: TableFollower[] = [];
  private sent = composeStoreVersion({era: 0, number: 0});
  private callsAlone = 0;
  private inForce = 0;
  private isSilent = false;

  constructor(
    private readonly targets: ChangeTargets,
    private readonly trouble: RelayTrouble,
  ) {
    this.budget = new ChangeBudget(targets);
    const {callMarginMs, freshForMs} = this.budget;
    const nowMs = () => this.atMs;
    this.store = new SimulatedStore({nowMs, wayMs: WAY_MS, callMarginMs});
    this.feed = new RelayedFeed(freshForMs);
    // Another table of the follower has failed before: its backoff is longer.
    this.recovery.noteFailure({}, 0);
    this.startRelay();
    this.startFollower();
  }

  /** @returns the time that a change accepted at a moment takes, in ms. */
  async measure(acceptedAtMs: number): Promise<number> {
    await this.advanceUntil(() => this.atMs >= acceptedAtMs);
    const number = this.store.accept();
    await this.advanceUntil(
      () =>
        this.inForce >= number ||
        this.atMs > acceptedAtMs + 2 * this.targets.inForceWithinMs,
    );
    const tookMs = this.atMs - acceptedAtMs;
    for (const follower of this.followers) follower.stop();
    return tookMs;
  }

  private async advanceUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      this.atMs += STEP_MS;
      this.isSilent = this.atMs >= this.trouble.silentFromMs;
      mock.timers.tick(STEP_MS);
      for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
    }
  }

  private startRelay(): void {
    const {relayWaitMs: waitMs, relayGatherMs: gatherMs} = this.budget;
    this.follow(
      this.store.connect(),
      {waitMs, gatherMs},
      {onReading: (reading, isWhole) => this.publish(reading, isWhole)},
    );
  }

  private publish({rows, version, clock}: RowsReading, isWhole: boolean): void {
    if (isWhole) this.copy.replace(rows, version);
    else this.copy.apply(rows, version);
    if (this.isSilent) return;
    const changes = this.copy.changesSince(this.sent);
    this.sent = version;
    const delayMs =
      this.atMs + this.budget.relayWaitMs >= this.trouble.silentFromMs
        ? this.trouble.deliveryMs
        : WAY_MS;
    setTimeout(() => {
      const asOfMs = this.timeline.dateOf(clock!.storeMs, this.atMs);
      this.feed.take(changes, asOfMs ?? Number.NEGATIVE_INFINITY);
    }, delayMs);
  }

  private startFollower(): void {
    const {pollMs, gatherMs, initialDelayMs} = this.budget;
    const isLost = () => {
      if (!this.isSilent) return false;
      this.callsAlone += 1;
      return this.trouble.losesCall && this.callsAlone === 1;
    };
    const store = this.store.connect(isLost);
    this.follow(
      new RelayedTable(store, this.feed, () => this.atMs),
      {waitMs: pollMs, includesPause: true, gatherMs, initialDelayMs},
      {
        onNumber: number => (this.inForce = number),
        onClock: reading => this.timeline.note(reading),
        recovery: this.recovery,
      },
    );
  }

  private follow(
    table: FollowedTable,
    pace: FollowPace,
    {onNumber, ...options}: FollowOptions,
  ): void {
    const learn = (rows: RowsReading['rows']) => {
      for (const {data} of rows) onNumber?.(Number(data));
    };
    const follower = new TableFollower({
      table,
      listener: {replaced: learn, changed: learn, disturbed: () => undefined},
      logger: new CapturedLog().logger,
      pace: () => pace,
      firstBackoffMs: this.budget.firstBackoffMs,
      random: () => 1,
      ...options,
    });
    this.followers.push(follower);
    follower.start();
  }
}

const TARGETS: readonly ChangeTargets[] = [
  {knownWithinMs: 3000, inForceWithinMs: 2000},
  {knownWithinMs: 4000, inForceWithinMs: 3000},
  {knownWithinMs: 4000, inForceWithinMs: 4000},
];

test.before(() => mock.timers.enable({apis: ['setTimeout']}));
test.after(() => mock.timers.reset());

for (const targets of TARGETS) {
  const {inForceWithinMs} = targets;
  for (const losesCall of [false, true]) {
    const title = `a change is in force within ${inForceWithinMs} ms whenever the relay falls silent, ${losesCall ? 'a call lost' : 'no call lost'}`;
    // Guards against instances that go by what a silent relay confirmed last.
    test.serial(title, async t => {
      for (const share of [0, 0.25, 0.45, 0.55]) {
        const deliveryMs = share * inForceWithinMs;
        for (let lateMs = 0; lateMs < inForceWithinMs; lateMs += 250) {
          const silentFromMs = SETTLED_MS + lateMs;
          const trouble = {silentFromMs, deliveryMs, losesCall};
          const world = new SimulatedChanges(targets, trouble);
          const tookMs = await world.measure(silentFromMs + STEP_MS);
          t.true(
            tookMs <= inForceWithinMs,
            `${tookMs} ms: ${JSON.stringify(trouble)}`,
          );
        }
      }
    });
  }
}

test.serial('a change that a relay passes on is in force at once', async t => {
  // Guards against a simulation in which no relay is followed.
  const trouble = {silentFromMs: Infinity, deliveryMs: WAY_MS, losesCall: true};
  const world = new SimulatedChanges(TARGETS[1], trouble);
  t.true((await world.measure(SETTLED_MS)) < 100);
});
