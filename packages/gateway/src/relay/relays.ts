/** Takes part in relaying: as a relay, as a follower of one, or not at all. */

import type {Logger} from '@snipestage/log/logger.js';
import type {LoadView} from '@snipestage/routing/load_view.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {InstanceEstimate} from '@snipestage/routing/instance_estimate.js';
import type {SharedDemand} from '@snipestage/routing/shared_demand.js';
import type {ChangeBudget} from '@snipestage/routing/change_budget.js';
import type {PaceView} from '@snipestage/routing/pace_view.js';
import type {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {RelayRoster, type RelaySlot} from '@snipestage/routing/relay_roster.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {FollowedTable, FollowPace} from '../table_follower.js';
import {RelayFollower} from './relay_follower.js';
import {RELAYED_TABLES, type RelayedTableName} from './relay_messages.js';
import {LoadExchange} from './load_exchange.js';
import {LoadSender} from './load_sender.js';
import {RelayHost} from './relay_host.js';
import {RelayPeers} from './relay_peers.js';
import {RelayedFeed} from './relayed_feed.js';
import {RelayedTable} from './relayed_table.js';
import {slotKey, type SlotValue} from './slot_rows.js';
import {TableCopy} from './table_copy.js';
import {CallPace} from '../streams/call_pace.js';
import {RecordBatcher, type StreamRecord} from '../streams/record_batcher.js';
import {toRecordRow} from '../streams/record_rows.js';
import {WriteBatcher} from './write_batcher.js';

/** Options of {@link Relays}. */
export interface RelaysOptions {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly dataCentres: number;
  /** 0 to 1: how well this instance's machine can serve others. */
  readonly strength: number;
  /** Address for other instances; undefined: this one takes no part. */
  readonly address: string | undefined;
  readonly budget: ChangeBudget;
  readonly timeline: StoreTimeline;
  readonly platform: Platform;
  readonly loads: LoadView;
  /** Exchanged with the loads; without it no demand is. */
  readonly demand?: SharedDemand;
  /** Without it no paces are exchanged. */
  readonly paces?: PaceView;
  readonly metrics: Pick<
    GatewayMetrics,
    'countLoads' | 'countPaces' | 'observeUpdateAge'
  >;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Number of instances; undefined while not known. */
  readonly countInstances: () => number | undefined;
  /** Receives an estimate while the number of instances isn't known. */
  readonly onEstimate: (instances: number) => void;
}

const TICK_MS = 500;
/** One relay of each data centre writes records of streams. */
const RECORD_INTERVAL_PER_DATA_CENTRE_MS = 10;
const RECORD_BURST = 4;

/**
 * Owns the roster and what this instance's role needs: a relay's server and its
 * streams to other relays, or a follower's stream to its relay.
 */
export class Relays {
  private readonly roster: RelayRoster;
  private readonly copies: Record<RelayedTableName, TableCopy>;
  private readonly feeds: Record<RelayedTableName, RelayedFeed>;
  private readonly writes: WriteBatcher;
  private readonly records: RecordBatcher;
  private readonly estimate: InstanceEstimate;
  private readonly host: RelayHost;
  private readonly follower: RelayFollower;
  private readonly peers: RelayPeers;
  private readonly loads: LoadSender;
  private hasEstimated = false;
  private timer: NodeJS.Timeout | undefined;
  private isBusy = false;

  constructor(private readonly options: RelaysOptions) {
    this.roster = new RelayRoster(options);
    this.estimate = new InstanceEstimate({
      dataCentres: options.dataCentres,
      minInstancesForRelays: this.roster.minInstancesForRelays,
    });
    this.writes = new WriteBatcher(options.platform);
    this.copies = perTable(() => new TableCopy());
    this.feeds = perTable(
      name => new RelayedFeed(this.budgetOf(name).freshForMs),
    );
    this.records = new RecordBatcher({
      platform: options.platform,
      pace: new CallPace({
        nowMs: options.nowMs,
        intervalMs: () =>
          options.dataCentres * RECORD_INTERVAL_PER_DATA_CENTRE_MS,
        burst: () => RECORD_BURST,
      }),
    });
    const {copies, feeds, writes, records} = this;
    this.host = new RelayHost({
      ...options,
      copies,
      writes,
      records,
      onLoads: report => this.loads.receive(report, 'local'),
    });
    this.peers = new RelayPeers({
      ...options,
      onLoads: report => this.loads.receive(report, 'remote'),
    });
    this.follower = new RelayFollower({
      ...options,
      copies,
      feeds,
      onLoads: report => this.loads.receive(report, 'remote'),
      onFailed: relay => this.roster.noteFailed(relay, options.nowMs()),
    });
    this.loads = new LoadSender({
      exchange: new LoadExchange({...options, view: options.loads}),
      host: this.host,
      follower: this.follower,
      nowMs: options.nowMs,
    });
    options.loads.watchSilences(() => this.loads.sendSoon());
  }

  start(): void {
    if (this.options.address === undefined) return;
    this.timer = setInterval(() => void this.tick(), TICK_MS);
  }

  /** Closes the server and all streams and releases this instance's slot. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.host.close();
    this.follower.close();
    await this.leave();
  }

  /**
   * Wraps a table of the store to follow it through a relay where there is one.
   */
  wrap(name: RelayedTableName, store: FollowedTable): FollowedTable {
    const {nowMs, logger} = this.options;
    return new RelayedTable(store, this.feeds[name], nowMs, logger);
  }

  /**
   * Poll timing of a table at a relay; undefined: that of all other instances.
   */
  paceOf(name: RelayedTableName): FollowPace | undefined {
    // A relay with too few followers is on standby and need not poll more often.
    const {followers} = this.host.stats;
    if (!this.roster.hasEnoughFollowers(followers)) return undefined;
    const {relayWaitMs, relayGatherMs} = this.budgetOf(name);
    return {waitMs: relayWaitMs, gatherMs: relayGatherMs};
  }

  private budgetOf(name: RelayedTableName): ChangeBudget {
    const {budget} = this.options;
    return name === 'shared' ? budget.forFacts() : budget;
  }

  /** This instance's copy of a table, from which its followers are updated. */
  copyOf(name: RelayedTableName): TableCopy {
    return this.copies[name];
  }

  /**
   * Notifies followers that a table was just read from the store itself.
   *
   * @param storeMs the store's clock as it made the answer, if it states it.
   */
  confirm(name: RelayedTableName, storeMs: number | undefined): void {
    this.host.confirm(name, storeMs);
  }

  /**
   * Writes a row in a batch with those of other instances, where that saves a
   * call.
   *
   * @returns whether the row is known to be in the store; if not, the caller
   *   has to write it in another way.
   */
  async write(key: string, value: unknown): Promise<boolean> {
    if (this.host.isServing) {
      return this.writes.add({key, value}, () => true);
    }
    return this.follower.write({key, value});
  }

  /**
   * Writes records of streams, whose rows don't exist yet, in transactions with
   * those of other instances.
   *
   * @returns for each record whether it is known to be in the store; undefined
   *   without a relay that answers: the caller has to write them itself.
   * @example
   * const areWritten = await relays.record(records);
   */
  async record(
    records: readonly StreamRecord[],
  ): Promise<readonly boolean[] | undefined> {
    if (!this.host.isServing) {
      return this.follower.record({records: records.map(toRecordRow)});
    }
    const results = await this.records.write(records);
    return results.map(({kind}) => kind === 'written');
  }

  /** Whether a relay writes this instance's rows in batches. */
  get hasBatchedWrites(): boolean {
    return this.host.isServing || this.follower.isFollowing;
  }

  learnSlot(slot: RelaySlot): void {
    this.roster.learn(slot);
    this.peers.learn(slot);
  }

  /** The store was set back: it may have lost the rows of slots. */
  noteSetBack(): void {
    this.roster.noteSetBack();
  }

  snapshot(): object {
    return {
      isRelay: this.host.isServing,
      follows: this.follower.isFollowing,
      slot: this.roster.ownSlot?.number,
    };
  }

  private async tick(): Promise<void> {
    this.loads.send();
    // Slots and the number of instances are rows of this table.
    const areSlotsKnown = this.copies.shared.version !== undefined;
    if (this.isBusy || !areSlotsKnown) return;
    this.isBusy = true;
    try {
      const instances = this.options.countInstances();
      const isUnknown = instances === undefined;
      if (isUnknown || this.roster.areRelaysWorthwhile(instances)) {
        await this.participate(isUnknown);
      } else {
        await this.leave();
      }
    } finally {
      this.isBusy = false;
    }
  }

  private async participate(isUnknown: boolean): Promise<void> {
    const {roster, options} = this;
    await this.syncServer();
    const nowMs = options.nowMs();
    const slot =
      roster.slotToClaimAgain ?? roster.slotToClaim(nowMs, isUnknown);
    if (slot !== undefined) await this.claim(slot);
    else if (!roster.isRelay && !this.follower.isFollowing) {
      const relay = roster.choose(nowMs);
      if (relay !== undefined) await this.follower.follow(relay);
    }
    if (isUnknown) this.estimateInstances();
  }

  private stopServing(): void {
    this.peers.close();
    this.host.stop();
  }

  private estimateInstances(): void {
    if (!this.host.isServing || this.hasEstimated) return;
    const instances = this.estimate.read(this.host.stats);
    if (instances === undefined) return;
    this.hasEstimated = true;
    this.options.onEstimate(instances);
  }

  /** Stops relaying and following; the store is polled directly. */
  private async leave(): Promise<void> {
    this.follower.leave();
    this.stopServing();
    const slot = this.roster.ownSlot;
    if (slot === undefined) return;
    const key = slotKey(slot);
    const result = await this.options.platform.transact({
      checks: [{key, version: slot.version}],
      writes: [{key, value: null}],
    });
    if (result.kind !== 'committed') return;
    const version = result.versions[key];
    this.roster.learn({...slot, holder: undefined, version});
  }

  /** Serves while this instance has a slot, and only then. */
  private async syncServer(): Promise<void> {
    if (this.roster.isRelay && (await this.serve())) {
      await this.peers.connect();
    } else this.stopServing();
  }

  private async serve(): Promise<boolean> {
    if (!this.host.isServing) this.follower.leave();
    return this.host.start();
  }

  /**
   * Starts the server first: followers connect as soon as they read the row.
   */
  private async claim(slot: RelaySlot): Promise<void> {
    const {platform, instance, address = '', logger} = this.options;
    if (!(await this.serve())) return;
    const key = slotKey(slot);
    const value: SlotValue = {instance, address};
    const result = await platform.transact({
      checks: [{key, version: slot.version}],
      writes: [{key, value}],
    });
    logger.info('relay_claimed', {
      slot: slot.number,
      before: slot.holder?.instance,
      outcome: result.kind,
    });
    if (result.kind !== 'committed') {
      this.stopServing();
      return;
    }
    const version = result.versions[key];
    this.roster.learn({...slot, holder: value, version});
  }
}

function perTable<Item>(
  make: (name: RelayedTableName) => Item,
): Record<RelayedTableName, Item> {
  const entries = RELAYED_TABLES.map(name => [name, make(name)]);
  return Object.fromEntries(entries) as Record<RelayedTableName, Item>;
}
