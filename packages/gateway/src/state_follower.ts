/** Keeps an instance's routing state in step with the platform's tables. */

import type {Logger} from '@snipestage/log/logger.js';
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
  /**
   * Time within which a change has to be known, even when a connection breaks.
   */
  readonly knownWithinMs: number;
  /** Time within which a change accepted by the store has to be in force. */
  readonly inForceWithinMs: number;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onEvacuated: (dataCentres: readonly DataCentreId[]) => void;
  /** The store was set back and answers again. */
  readonly onSetBack: () => void;
}

/**
 * A long poll and the pause before it end after this share of `knownWithinMs`,
 * whatever happens to the connection. This detects a connection that has gone
 * silent, and leaves the rest of the time for the margin of the poll and for a
 * new connection.
 */
const FOLLOW_WAIT_SHARE = 0.77;
/** Crashes are rare, and a request's third crash may be known seconds later. */
const FOLLOW_FACTS_WAIT_MS = 8000;
/**
 * After a change, the next poll is delayed by this share of `inForceWithinMs`,
 * so that the changes that follow come in one answer. A poll sent then is
 * answered within milliseconds; the rest of the time is left for a slow store.
 * Endpoints that come and go in turn change a row every few hundred
 * milliseconds, and each answer is a priced call of every instance.
 */
const GATHER_SHARE = 0.35;
/**
 * Share of `inForceWithinMs` by which the first poll is delayed, so that the
 * instance can find a relay instead.
 */
const INITIAL_DELAY_SHARE = 0.8;

/** Owns the followers of the tables and applies what they read. */
export class StateFollower {
  private readonly followers: TableFollower[] = [];
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
    for (const follower of this.followers) follower.start();
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private addFollowers(): void {
    const {knownWithinMs} = this.options;
    const waitMs = knownWithinMs * FOLLOW_WAIT_SHARE;
    this.follow('configuration', waitMs, {
      replaced: (rows, read) => this.operatorRows.replace(rows, read),
      changed: (rows, origin) => this.operatorRows.change(rows, origin),
      disturbed: () => undefined,
    });
    this.follow('endpoints', waitMs, {
      replaced: (rows, read) => this.replaceEndpoints(rows, read),
      changed: rows => this.changeEndpoints(rows),
      disturbed: () =>
        this.options.state.directory.noteDisturbance(this.options.nowMs()),
    });
    this.follow('shared', FOLLOW_FACTS_WAIT_MS, {
      replaced: (rows, {isSetBack}) => {
        if (isSetBack) this.options.relays.noteSetBack();
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
    const {tables, relays, recovery, inForceWithinMs} = this.options;
    const own = {
      waitMs,
      includesPause: true,
      gatherMs: inForceWithinMs * GATHER_SHARE,
      // No initial delay for the shared table: it holds the relays' rows.
      ...(name === 'shared'
        ? {}
        : {initialDelayMs: inForceWithinMs * INITIAL_DELAY_SHARE}),
    };
    this.followers.push(
      new TableFollower({
        table: relays.wrap(name, tables[name]),
        listener,
        recovery,
        logger: this.options.logger.forComponent('store'),
        pace: () => relays.paceOf(name) ?? own,
        onClock: this.options.clock.noteReading.bind(this.options.clock),
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
    {rows, version, isRelayed}: RowsReading,
    isWhole: boolean,
  ): void {
    const {relays} = this.options;
    const copy = relays.copyOf(name);
    if (isWhole) copy.replace(rows, version);
    else copy.apply(rows, version);
    if (isRelayed !== true) relays.confirm(name);
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
