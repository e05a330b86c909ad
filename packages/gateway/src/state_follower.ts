/** Keeps what an instance knows in step with the platform's tables. */

import type {Logger} from '@snipestage/log/logger.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import type {RoutingConfiguration} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {CrashReporter} from './crash_reporter.js';
import {OperatorRows} from './operator_rows.js';
import type {RoutingState} from './routing_state.js';
import type {RowDecoder} from './row_decoder.js';
import type {RelayedTableName} from './relay/relay_messages.js';
import type {Relays} from './relay/relays.js';
import {readSlot} from './relay/slot_rows.js';
import {decodeFact} from './shared_facts.js';
import type {StoreRecovery} from './store_recovery.js';
import {
  TableFollower,
  type FollowedRow,
  type FollowedTable,
  type RowsReading,
  type TableListener,
} from './table_follower.js';

/** The tables that an instance follows. */
export interface FollowedTables {
  readonly configuration: FollowedTable;
  readonly endpoints: FollowedTable;
  /** For facts that instances publish to each other. */
  readonly shared: FollowedTable;
}

/** What a {@link StateFollower} is made from. */
export interface StateFollowerOptions {
  readonly tables: FollowedTables;
  readonly decoder: RowDecoder;
  readonly state: RoutingState;
  readonly clock: AgreedClock;
  readonly crashes: CrashReporter;
  readonly relays: Relays;
  readonly recovery: StoreRecovery;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** A change has to be known so soon, also over a connection that broke. */
  readonly knownWithinMs: number;
  /** A change has to be in force so soon after the store has taken it. */
  readonly inForceWithinMs: number;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onEvacuated: (dataCentres: readonly DataCentreId[]) => void;
}

/**
 * A long poll ends after this share of the time in which a change has to be
 * known, whatever happens to a connection: one that has gone silent shows by
 * that, and the rest is left for a new one.
 */
const FOLLOW_WAIT_SHARE = 0.7;
/** Crashes are rare, and the third of a request may be known seconds later. */
const FOLLOW_FACTS_WAIT_MS = 8000;
/**
 * After a change, the next poll waits for this share of the time in which a
 * change has to be in force, so that those that follow come in one answer. A
 * poll that is sent then is answered within milliseconds; the rest is left for
 * a slow store. Endpoints that come and go by turns change a row every few
 * hundred milliseconds, and each answer is a priced call of every instance.
 */
const GATHER_SHARE = 0.35;
/** Share of that time by which the first poll is delayed to find a relay. */
const INITIAL_DELAY_SHARE = 0.8;

/** Owns the followers. */
export class StateFollower {
  private readonly followers: TableFollower[] = [];
  private readonly operatorRows: OperatorRows;
  private hasEndpoints = false;

  constructor(private readonly options: StateFollowerOptions) {
    this.operatorRows = new OperatorRows(options);
    this.addFollowers();
  }

  /** The configuration and the endpoints are known. */
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
      replaced: rows => this.operatorRows.replace(rows),
      changed: rows => this.operatorRows.change(rows),
      disturbed: () => undefined,
    });
    this.follow('endpoints', waitMs, {
      replaced: rows => this.replaceEndpoints(rows),
      changed: rows => this.changeEndpoints(rows),
      disturbed: () =>
        this.options.state.directory.noteDisturbance(this.options.nowMs()),
    });
    const learn = (rows: readonly FollowedRow[]) => this.learnFacts(rows);
    this.follow('shared', FOLLOW_FACTS_WAIT_MS, {
      replaced: learn,
      changed: learn,
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
      gatherMs: inForceWithinMs * GATHER_SHARE,
      // The shared table has the rows of the relays.
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
      }),
    );
  }

  /** For the instances that follow the store by way of this one. */
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

  private replaceEndpoints(rows: readonly FollowedRow[]): void {
    const endpoints = rows.flatMap(row => {
      const change = this.options.decoder.decodeEndpoint(row);
      return change.kind === 'listed' ? [change.endpoint] : [];
    });
    this.options.state.directory.replace(endpoints, this.options.nowMs());
    this.options.state.forgetUnlisted();
    this.noteWarmups(endpoints);
    this.hasEndpoints = true;
    this.options.logger.info('endpoints_read', {count: endpoints.length});
  }

  private changeEndpoints(rows: readonly FollowedRow[]): void {
    const changes = rows.map(row => this.options.decoder.decodeEndpoint(row));
    const {logger} = this.options;
    for (const change of changes) {
      if (change.kind === 'listed') {
        const {id, isLeaving, service} = change.endpoint;
        this.noteNewLife(change.endpoint);
        logger.info('endpoint_listed', {
          endpoint: id,
          dataCentre: change.endpoint.dataCentre,
          isLeaving,
          service,
        });
      } else {
        logger.info(`endpoint_${change.kind}`, {endpoint: change.id});
      }
    }
    this.options.state.directory.apply(changes, this.options.nowMs());
    this.options.state.forgetUnlisted();
    this.noteWarmups(
      changes.flatMap(change =>
        change.kind === 'listed' ? [change.endpoint] : [],
      ),
    );
  }

  private noteWarmups(endpoints: readonly ServingEndpoint[]): void {
    const {state, nowMs} = this.options;
    for (const {id, warmupLeftMs = 0} of endpoints) {
      state.warmup.noteWarmup(id, warmupLeftMs, nowMs());
    }
  }

  private noteNewLife(endpoint: ServingEndpoint): void {
    const known = this.options.state.directory.find(endpoint.id);
    if (known === undefined) return;
    const isNewLife = known.bornEpochMs !== endpoint.bornEpochMs;
    if (isNewLife) this.options.crashes.noteUnreachable(endpoint);
  }

  private learnFacts(rows: readonly FollowedRow[]): void {
    for (const slot of rows.map(readSlot)) {
      if (slot !== undefined) this.options.relays.learnSlot(slot);
    }
    const facts = rows.map(decodeFact).filter(fact => fact !== undefined);
    for (const fact of facts) {
      if (fact.kind === 'crash') {
        this.options.crashes.learn([fact.crash]);
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
