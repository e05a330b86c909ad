/**
 * Duties of one instance on behalf of all: reporting usage, ordering endpoints.
 */

import {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import {TableExecutor} from '@snipestage/entry/configure/table_executor.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {competesForLease} from '@snipestage/routing/lease_candidates.js';
import {UsageWindows} from '@snipestage/routing/usage_windows.js';
import {
  brandAs,
  type ClientAccountId,
  type FencingToken,
  type Incarnation,
  type LeaseName,
} from '@snipestage/types/ids.js';
import {CapacityDuty} from './capacity_duty.js';
import {ClockTieTask} from './clock_tie_task.js';
import {DutyTerm} from './duty_term.js';
import {EraStart} from './era_start.js';
import type {GatewaySettings} from './gateway_settings.js';
import type {Relays} from './relay/relays.js';
import type {RoutingState} from './routing_state.js';
import type {SharedFacts} from './shared_facts.js';
import type {StoreRecovery} from './store_recovery.js';
import {UsageReporter} from './usage_reporter.js';
import {UsageWriter} from './usage_writer.js';

/** Options of {@link Duties}. */
export interface DutiesOptions {
  readonly settings: GatewaySettings;
  readonly incarnation: string;
  readonly platform: Platform;
  readonly state: RoutingState;
  readonly clock: AgreedClock;
  readonly facts: SharedFacts;
  readonly recovery: Pick<StoreRecovery, 'isUnavailable'>;
  readonly relays: Pick<Relays, 'write' | 'hasBatchedWrites'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Only a ready instance competes for the lease. */
  readonly isReady: () => boolean;
}

const DUTIES_LEASE = brandAs<LeaseName>('duties');
/**
 * A holder stops acting this share of the lease's term before the term ends.
 */
const LEASE_MARGIN_SHARE = 0.15;
/**
 * Renewals in a term: two may be lost, as a failed one is due again at once.
 */
const RENEWALS_PER_TERM = 2.5;
/**
 * Interval of a challenger's polls, in terms of the lease. Each poll is a
 * priced call. It has to come before the lease that was last seen appears to
 * have lapsed; otherwise each challenger makes a futile write once per term.
 */
const POLL_INTERVAL_TERMS = 1;
/** Interval of writes of partial counts, as a share of a window. */
const USAGE_WRITE_SHARE = 0.5;
/** The same interval while a relay writes the counts in batches. */
const RELAYED_WRITE_SHARE = 0.3;

/**
 * Owns the lease, the tasks that run under it and the writer of usage counts.
 */
export class Duties {
  private readonly windows: UsageWindows;
  private readonly clockTieTask: ClockTieTask;
  private readonly lease: LeaseTask;
  private readonly term: DutyTerm;
  private readonly writer: UsageWriter;
  private readonly reporter: UsageReporter;
  private readonly eraStart: EraStart;
  private readonly capacity: CapacityDuty;
  private readonly startedAtMs: number;
  private isHandedOver = false;

  constructor(private readonly options: DutiesOptions) {
    const {settings, platform, state, clock, facts, nowMs} = options;
    const {windowMs, dueAfterMs} = settings.usage;
    const logger = options.logger.forComponent('usage');
    this.startedAtMs = nowMs();
    this.windows = new UsageWindows(windowMs);
    this.clockTieTask = new ClockTieTask(platform, clock, logger);
    this.lease = this.createLease();
    this.term = new DutyTerm({
      lease: this.lease,
      separationMs: settings.lease.termMs,
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
      isStoreUnavailable: () => options.recovery.isUnavailable,
      hasBatchedWrites: () => options.relays.hasBatchedWrites,
      readDemands: () => state.readDemands(nowMs()),
    });
    this.eraStart = new EraStart({platform, clock, nowMs});
    this.reporter = new UsageReporter({
      platform,
      lease: this.lease,
      leaseName: DUTIES_LEASE,
      term: this.term,
      clock,
      eraStart: this.eraStart,
      windowMs,
      dueAfterMs,
      nowMs,
      logger,
      onRows: rows => void facts.publishTotals(rows),
    });
    this.capacity = new CapacityDuty({
      platform,
      term: this.term,
      state,
      nowMs,
      logger: options.logger.forComponent('capacity'),
    });
  }

  /** Fencing token under which duties are carried out now, if they are. */
  get token(): FencingToken | undefined {
    return this.term.token;
  }

  /** Counts a request of an account that began to run. */
  countUsage(account: ClientAccountId, atMs: number): void {
    this.windows.count(account, this.options.clock.epochAt(atMs));
  }

  start(): void {
    const {reportsUsage, ordersEndpoints} = this.options.settings.duties;
    if (reportsUsage) {
      this.clockTieTask.start();
      this.writer.start();
      this.reporter.start();
    }
    if (ordersEndpoints) this.capacity.start();
    if (reportsUsage || ordersEndpoints) this.lease.start();
  }

  /** Retires from the lease for a successor; usage counts are still written. */
  handOver(): void {
    this.isHandedOver = true;
    this.clockTieTask.stop();
    this.reporter.stop();
    this.capacity.stop();
    void this.lease.retire();
  }

  /** Writes again what the store may have lost when it was set back. */
  noteSetBack(): void {
    const {reportsUsage} = this.options.settings.duties;
    if (!reportsUsage || this.isHandedOver) return;
    void this.eraStart.note();
    this.clockTieTask.start();
    this.writer.rewrite();
  }

  /** How long ago an era of the store began; undefined when it isn't known. */
  async eraAgeMs(era: number): Promise<number | undefined> {
    const {clock, nowMs} = this.options;
    const sinceEpochMs = await this.eraStart.read(era);
    if (sinceEpochMs === undefined) return undefined;
    return clock.epochAt(nowMs()) - sinceEpochMs;
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
        pollEveryMs: termMs * POLL_INTERVAL_TERMS,
      },
      executor: new TableExecutor({platform, clock: nowMs}),
      clock: nowMs,
      logger: logger.forComponent('lease'),
      isCandidate: () => this.options.isReady() && this.isLeaseCandidate(),
    });
  }

  private isLeaseCandidate(): boolean {
    const {settings, state, nowMs} = this.options;
    return competesForLease({
      instance: settings.instance,
      lease: DUTIES_LEASE,
      instances: state.instances,
      upForMs: nowMs() - this.startedAtMs,
    });
  }

  /**
   * Interval of writes of partial counts, which limits what a killed instance
   * loses. With many instances each one's counts are below the tolerance, so
   * that partial counts are only worth a batched write.
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
