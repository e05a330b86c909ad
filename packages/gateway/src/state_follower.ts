/** Keeps an instance's routing state in step with the platform's tables. */

import type {Logger} from '@snipestage/log/logger.js';
import type {ChangeBudget} from '@snipestage/routing/change_budget.js';
import type {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {CrashReporter} from './crash_reporter.js';
import {OperatorRows} from './operator_rows.js';
import {OutdatedRows, type ListedEndpoint} from './outdated_rows.js';
import type {RoutingState} from './routing_state.js';
import type {RowDecoder} from './row_decoder.js';
import type {RelayedTableName} from './relay/relay_messages.js';
import type {Relays} from './relay/relays.js';
import {readSlot} from './relay/slot_rows.js';
import {decodeFact} from './shared_facts.js';
import type {StoreRecovery} from './store_recovery.js';
import type {Streams} from './streams/streams.js';
import {
  TableFollower,
  type FollowedRow,
  type FollowedTable,
  type RowsReading,
  type TableListener,
  type WholeRead,
} from './table_follower.js';

/** The tables that an instance follows. */
export interface FollowedTables {
  readonly configuration: FollowedTable;
  readonly endpoints: FollowedTable;
  /** For facts that instances publish to each other. */
  readonly shared: FollowedTable;
}

/** Options of {@link StateFollower}. */
export interface StateFollowerOptions {
  readonly tables: FollowedTables;
  readonly decoder: RowDecoder;
  readonly state: RoutingState;
  readonly clock: AgreedClock;
  readonly crashes: CrashReporter;
  readonly relays: Relays;
  readonly recovery: StoreRecovery;
  readonly streams: Streams;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly budget: ChangeBudget;
  readonly timeline: StoreTimeline;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onEvacuated: (dataCentres: readonly DataCentreId[]) => void;
  /** The store was set back and answers again. */
  readonly onSetBack: () => void;
}

/** Owns the followers of the tables and applies what they read. */
export class StateFollower {
  private readonly followers = new Map<RelayedTableName, TableFollower>();
  private readonly operatorRows: OperatorRows;
  private readonly outdated = new OutdatedRows();
  private hasEndpoints = false;

  constructor(private readonly options: StateFollowerOptions) {
    this.operatorRows = new OperatorRows(options);
    this.addFollowers();
  }

  /** Whether both the configuration and the endpoints are known. */
  get isComplete(): boolean {
    return this.options.state.table !== undefined && this.hasEndpoints;
  }

  start(): void {
    for (const follower of this.followers.values()) follower.start();
  }

  stop(): void {
    for (const follower of this.followers.values()) follower.stop();
  }

  /**
   * For how long a change of each table may have been missed, in ms: the time
   * since when the table is known to have been complete. Infinity: not known.
   */
  readAges(): ReadonlyMap<RelayedTableName, number> {
    const nowMs = this.options.nowMs();
    const ages = [...this.followers].map(
      ([name, {asOfMs}]) => [name, nowMs - asOfMs] as const,
    );
    return new Map(ages);
  }

  private addFollowers(): void {
    const {pollMs} = this.options.budget;
    this.follow('configuration', pollMs, {
      replaced: (rows, read) => this.operatorRows.replace(rows, read),
      changed: (rows, origin) => this.operatorRows.change(rows, origin),
      disturbed: () => undefined,
    });
    this.follow('endpoints', pollMs, {
      replaced: (rows, read) => this.replaceEndpoints(rows, read),
      changed: rows => this.changeEndpoints(rows),
      disturbed: () =>
        this.options.state.directory.noteDisturbance(this.options.nowMs()),
    });
    this.follow('shared', pollMs, {
      replaced: (rows, {isSetBack, era, missedForMs}) => {
        if (isSetBack) {
          this.options.relays.noteSetBack();
          this.options.crashes.parts.noteSetBack();
          this.options.streams.noteNewEra(era, missedForMs);
        }
        this.learnFacts(rows);
        if (isSetBack) this.options.onSetBack();
      },
      changed: rows => this.learnFacts(rows),
      disturbed: () => undefined,
    });
  }

  private follow(
    name: RelayedTableName,
    waitMs: number,
    listener: TableListener,
  ): void {
    const {tables, relays, recovery, budget, timeline} = this.options;
    const {gatherMs, initialDelayMs, firstBackoffMs} = budget;
    const own = {
      waitMs,
      includesPause: true,
      gatherMs,
      // No initial delay for the shared table: it holds the relays' rows.
      ...(name === 'shared' ? {} : {initialDelayMs}),
    };
    this.followers.set(
      name,
      new TableFollower({
        table: relays.wrap(name, tables[name]),
        listener,
        recovery,
        logger: this.options.logger.forComponent('store'),
        pace: () => relays.paceOf(name) ?? own,
        firstBackoffMs,
        onClock: reading => {
          this.options.clock.noteReading(reading);
          timeline.note(reading);
        },
        dateOf: ({storeMs, sentAtMs, receivedAtMs}) =>
          timeline.dateOf(storeMs, receivedAtMs) ?? sentAtMs,
        onReading: (reading, isWhole) => this.copy(name, reading, isWhole),
        nowMs: this.options.nowMs,
      }),
    );
  }

  /**
   * Copies a reading for the instances that follow the store through this one.
   */
  private copy(
    name: RelayedTableName,
    {rows, version, isRelayed, clock}: RowsReading,
    isWhole: boolean,
  ): void {
    const {relays} = this.options;
    const copy = relays.copyOf(name);
    if (isWhole) copy.replace(rows, version);
    else copy.apply(rows, version);
    if (isRelayed !== true) relays.confirm(name, clock?.storeMs);
  }

  private replaceEndpoints(
    rows: readonly FollowedRow[],
    {isSetBack}: WholeRead,
  ): void {
    const listed = rows.flatMap(row => {
      const change = this.options.decoder.decodeEndpoint(row);
      const {version} = row;
      return change.kind === 'listed'
        ? [{endpoint: change.endpoint, version}]
        : [];
    });
    if (isSetBack) this.handleSetBack(listed);
    const endpoints = this.outdated.dropFrom(listed);
    this.options.state.directory.replace(endpoints, this.options.nowMs());
    this.options.state.evictStale(this.options.nowMs());
    this.noteWarmups(endpoints);
    this.options.streams.noteEndpoints();
    this.hasEndpoints = true;
    this.options.logger.info('endpoints_read', {count: endpoints.length});
  }

  /** Rows that are missing or outdated may be written again within seconds. */
  private handleSetBack(listed: readonly ListedEndpoint[]): void {
    const {directory} = this.options.state;
    directory.noteDisturbance(this.options.nowMs());
    const outdated = listed.filter(({endpoint}) =>
      directory.isOutdated(endpoint),
    );
    this.outdated.replace(outdated);
    this.options.logger.warn('endpoints_set_back', {
      count: listed.length,
      outdated: outdated.length,
    });
  }

  private changeEndpoints(rows: readonly FollowedRow[]): void {
    const changes = rows.map(row => this.options.decoder.decodeEndpoint(row));
    const {logger} = this.options;
    for (const change of changes) {
      if (change.kind === 'listed') {
        const {id, isLeaving, service} = change.endpoint;
        this.noteRestart(change.endpoint);
        logger.info('endpoint_listed', {
          endpoint: id,
          dataCentre: change.endpoint.dataCentre,
          isLeaving,
          leavesInMs: change.endpoint.leavesInMs,
          service,
          softwareVersion: change.endpoint.softwareVersion,
        });
      } else {
        logger.info(`endpoint_${change.kind}`, {endpoint: change.id});
      }
    }
    this.options.state.directory.apply(changes, this.options.nowMs());
    this.options.state.evictStale(this.options.nowMs());
    this.noteWarmups(
      changes.flatMap(change =>
        change.kind === 'listed' ? [change.endpoint] : [],
      ),
    );
    this.options.streams.noteEndpoints();
  }

  private noteWarmups(endpoints: readonly ServingEndpoint[]): void {
    const {state, nowMs} = this.options;
    for (const {id, warmupLeftMs = 0} of endpoints) {
      state.warmup.noteWarmup(id, warmupLeftMs, nowMs());
    }
  }

  private noteRestart(endpoint: ServingEndpoint): void {
    const known = this.options.state.directory.find(endpoint.id);
    if (known === undefined) return;
    const isRestarted = known.bornEpochMs !== endpoint.bornEpochMs;
    if (isRestarted) this.options.crashes.noteDown(endpoint.id);
  }

  private learnFacts(rows: readonly FollowedRow[]): void {
    for (const slot of rows.map(readSlot)) {
      if (slot !== undefined) this.options.relays.learnSlot(slot);
    }
    const facts = rows.map(decodeFact).filter(fact => fact !== undefined);
    for (const fact of facts) {
      if (fact.kind === 'crash') {
        this.options.crashes.mergePublished([fact.crash]);
        continue;
      }
      if (fact.kind === 'trial') {
        this.options.crashes.parts.learn(fact.trial);
        continue;
      }
      if (fact.kind === 'versions') {
        const {service, versions, rowVersion} = fact;
        this.options.streams.learnVersions(service, versions, rowVersion);
        continue;
      }
      if (fact.kind === 'instances') {
        this.options.state.instances = fact.count;
        this.options.logger.info('instances_learnt', {count: fact.count});
        continue;
      }
      const {service, demands} = fact;
      this.options.state.agreedDemand.learn(
        service,
        demands,
        this.options.nowMs(),
      );
      this.options.logger.info('demand_learnt', {
        service,
        routes: demands.length,
      });
    }
  }
}
