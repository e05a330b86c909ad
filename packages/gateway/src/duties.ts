/** What one instance does for all: it reports usage and orders endpoints. */

import {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import {TableExecutor} from '@snipestage/entry/configure/table_executor.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {standsForLease} from '@snipestage/routing/lease_candidates.js';
import {UsageWindows} from '@snipestage/routing/usage_windows.js';
import {
  brandAs,
  type ClientAccountId,
  type FencingToken,
  type Incarnation,
  type LeaseName,
} from '@snipestage/types/ids.js';
import {CapacityDuty} from './capacity_duty.js';
import {ClockKeeper} from './clock_keeper.js';
import {DutyTerm} from './duty_term.js';
import type {GatewaySettings} from './gateway_settings.js';
import type {Relays} from './relay/relays.js';
import type {RoutingState} from './routing_state.js';
import type {SharedFacts} from './shared_facts.js';
import type {StoreRecovery} from './store_recovery.js';
import {UsageReporter} from './usage_reporter.js';
import {UsageWriter} from './usage_writer.js';

/** What {@link Duties} are made from. */
export interface DutiesOptions {
  readonly settings: GatewaySettings;
  readonly incarnation: string;
  readonly platform: Platform;
  readonly state: RoutingState;
  readonly clock: AgreedClock;
  readonly facts: SharedFacts;
  readonly recovery: Pick<StoreRecovery, 'isAway'>;
  readonly relays: Pick<Relays, 'write' | 'hasBatchedWrites'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Only a ready instance stands for the lease. */
  readonly isReady: () => boolean;
}

const DUTIES_LEASE = brandAs<LeaseName>('duties');
/** Share of the lease's term by which a holder stops before its end. */
const LEASE_MARGIN_SHARE = 0.15;
/** Renewals in a term: two may be lost. */
const RENEWALS_PER_TERM = 2.5;
/**
 * Each poll is a priced call. It has to come before a lease that was seen last
 * seems to have lapsed, or each challenger writes in vain once a term.
 */
const POLL_TERMS = 1;
/** Share of a window after which its counts so far are written. */
const USAGE_WRITE_SHARE = 0.5;
/** The same where a relay writes in batches. */
const RELAYED_WRITE_SHARE = 0.3;

/** Owns the lease and the tasks that are done in its name. */
export class Duties {
  private readonly windows: UsageWindows;
  private readonly keeper: ClockKeeper;
  private readonly lease: LeaseTask;
  private readonly term: DutyTerm;
  private readonly writer: UsageWriter;
  private readonly reporter: UsageReporter;
  private readonly capacity: CapacityDuty;
  private readonly startedAtMs: number;

  constructor(private readonly options: DutiesOptions) {
    const {settings, platform, state, clock, facts, nowMs} = options;
    const {windowMs, dueAfterMs} = settings.usage;
    const logger = options.logger.forComponent('usage');
    this.startedAtMs = nowMs();
    this.windows = new UsageWindows(windowMs);
    this.keeper = new ClockKeeper(platform, clock, logger);
    this.lease = this.createLease();
    this.term = new DutyTerm({
      lease: this.lease,
      apartMs: settings.lease.termMs,
      nowMs,
      nowEpochMs: Date.now,
    });
    this.writer = new UsageWriter({
      platform,
      windows: this.windows,
      clock,
      writer: `${settings.instance}.${options.incarnation}`,
      windowMs,
      writeEveryMs: () => this.usageWriteEveryMs,
      nowMs,
      logger,
      writeBatched: (key, value) => options.relays.write(key, value),
      isStoreAway: () => options.recovery.isAway,
      hasBatchedWrites: () => options.relays.hasBatchedWrites,
      readDemands: () => state.readDemands(nowMs()),
    });
    this.reporter = new UsageReporter({
      platform,
      lease: this.lease,
      leaseName: DUTIES_LEASE,
      term: this.term,
      clock,
      windowMs,
      dueAfterMs,
      nowMs,
      logger,
      onRows: rows => void facts.publishSeen(rows),
    });
    this.capacity = new CapacityDuty({
      platform,
      term: this.term,
      state,
      nowMs,
      logger: options.logger.forComponent('capacity'),
    });
  }

  /** Under which duties are carried out now. */
  get token(): FencingToken | undefined {
    return this.term.token;
  }

  /** A request of an account began to run. */
  countUsage(account: ClientAccountId, atMs: number): void {
    this.windows.count(account, this.options.clock.epochAt(atMs));
  }

  start(): void {
    const {reportsUsage, ordersEndpoints} = this.options.settings.duties;
    if (reportsUsage) {
      this.keeper.start();
      this.writer.start();
      this.reporter.start();
    }
    if (ordersEndpoints) this.capacity.start();
    if (reportsUsage || ordersEndpoints) this.lease.start();
  }

  /** Hands over to a successor; what is counted from now on is still written. */
  handOver(): void {
    this.keeper.stop();
    this.reporter.stop();
    this.capacity.stop();
    void this.lease.retire();
  }

  /** Writes what was counted and not yet written. */
  finishUsage(): Promise<void> {
    return this.writer.stop();
  }

  snapshot(): object {
    return {
      lease: this.lease.snapshot(),
      isClockTied: this.options.clock.isTied,
    };
  }

  private createLease(): LeaseTask {
    const {settings, platform, logger, nowMs, incarnation} = this.options;
    const {termMs} = settings.lease;
    return new LeaseTask({
      lease: {
        name: DUTIES_LEASE,
        instance: settings.instance,
        incarnation: brandAs<Incarnation>(incarnation),
        termMs,
        marginMs: termMs * LEASE_MARGIN_SHARE,
        renewEveryMs: termMs / RENEWALS_PER_TERM,
        pollEveryMs: termMs * POLL_TERMS,
      },
      executor: new TableExecutor({platform, clock: nowMs}),
      clock: nowMs,
      logger: logger.forComponent('lease'),
      isCandidate: () => this.options.isReady() && this.standsForLease(),
    });
  }

  private standsForLease(): boolean {
    const {settings, state, nowMs} = this.options;
    return standsForLease({
      instance: settings.instance,
      lease: DUTIES_LEASE,
      instances: state.instances,
      upForMs: nowMs() - this.startedAtMs,
    });
  }

  /**
   * Interval of partial counts, which limits what a killed instance loses. With
   * many instances each holds less than the tolerance, so that partial counts
   * are only worth a batched write.
   */
  private get usageWriteEveryMs(): number {
    const {windowMs, tolerance} = this.options.settings.usage;
    const {instances} = this.options.state;
    if (this.options.relays.hasBatchedWrites) {
      return windowMs * RELAYED_WRITE_SHARE;
    }
    const isNegligible = instances !== undefined && 1 / instances < tolerance;
    return isNegligible ? windowMs : windowMs * USAGE_WRITE_SHARE;
  }
}
