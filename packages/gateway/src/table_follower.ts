/** Follows a table of the platform by long polls. */

import {
  ABSENT,
  eraOf,
  isOlderVersion,
  latestVersion,
  numberOf,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {StoreClockReading} from '@snipestage/routing/agreed_clock.js';
import {PROBE_WAIT_MS} from '@snipestage/routing/change_budget.js';
import type {Logger} from '@snipestage/log/logger.js';
import {StoreRecovery} from './store_recovery.js';

/** A row that exists or was removed. */
export interface FollowedRow {
  readonly key: string;
  readonly version: StoreVersion;
  /** Undefined when the row was removed. */
  readonly data: Buffer | undefined;
}

/** Result of reading a table. */
export type TableReading =
  | {
      readonly kind: 'rows';
      readonly rows: readonly FollowedRow[];
      /** Version of the store that the rows reflect. */
      readonly version: StoreVersion;
      /** The store's clock as it made the answer; undefined: not stated. */
      readonly clock: StoreClockReading | undefined;
      /** Received from a relay, not from the store itself. */
      readonly isRelayed?: boolean;
      /** The time as of which a relay's rows are complete, or later. */
      readonly asOfMs?: number;
      /** When the first of the rows arrived, where they waited to be read. */
      readonly arrivedAtMs?: number;
    }
  /** The store no longer has the history since the requested version. */
  | {readonly kind: 'history_gone'}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** A table that can be read whole and then followed. */
export abstract class FollowedTable {
  abstract readonly name: string;
  abstract readAll(): Promise<TableReading>;
  /**
   * Resolves as soon as something has changed, at the latest after the wait, or
   * when it is aborted.
   */
  abstract waitForChanges(
    sinceVersion: StoreVersion,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<TableReading>;

  /**
   * Resolves when {@link waitForChanges} would return changes without a call to
   * the store, at the latest after the wait.
   */
  waitForNews(_sinceVersion: StoreVersion, waitMs: number): Promise<void> {
    return new Promise(done => setTimeout(done, waitMs));
  }
}

/** By which path rows came, for logs. */
export interface RowsOrigin {
  readonly path: 'relay' | 'store';
  /** How long ago the store is known to have had these rows or older ones. */
  readonly ageMs: number | undefined;
  /** How long the rows waited in this instance. */
  readonly heldMs: number;
}

/** How a whole read came about. */
export interface WholeRead {
  /**
   * The store was set back since the last read: the rows are from an older copy,
   * and what operators and endpoints wrote since may be missing for a while.
   */
  readonly isSetBack: boolean;
  /** Era of the store that was read. */
  readonly era: number;
  readonly origin: RowsOrigin;
  /** For how long before this read changes may have been missed. */
  readonly missedForMs: number;
}

/** Receives changes of a table. */
export interface TableListener {
  /** Receives all rows of the table. */
  replaced(rows: readonly FollowedRow[], read: WholeRead): void;
  changed(rows: readonly FollowedRow[], origin: RowsOrigin): void;
  /** The store did not answer, or only with a failure. */
  disturbed(): void;
}

/** Timing of the polls of a table. */
export interface FollowPace {
  /** How long a poll may last. */
  readonly waitMs: number;
  /** Whether `waitMs` includes the pause before the poll (false). */
  readonly includesPause?: boolean;
  /**
   * Pause after a whole read and after changes; changes made meanwhile come in
   * the next answer. Endpoints register one by one, and each change ends the
   * long poll of every instance.
   */
  readonly gatherMs: number;
  /**
   * Pause after the first whole read (`gatherMs`): hundreds of instances that
   * start together find a relay within it and need not poll.
   */
  readonly initialDelayMs?: number;
}

/** Reading with rows, in the order of their versions. */
export type RowsReading = Extract<TableReading, {kind: 'rows'}>;

/** Options of {@link TableFollower}; defaults in brackets. */
export interface TableFollowerOptions {
  readonly table: FollowedTable;
  readonly listener: TableListener;
  readonly logger: Logger;
  /** Called for the timing of each poll and each pause. */
  readonly pace: () => FollowPace;
  readonly onClock?: (reading: StoreClockReading) => void;
  /** When the store's clock showed a reading, or earlier (when it was sent). */
  readonly dateOf?: (reading: StoreClockReading) => number;
  /** Called after each reading that was applied, also one without rows. */
  readonly onReading?: (reading: RowsReading, isWhole: boolean) => void;
  /** Shared by all followers of a store (one for this follower alone). */
  readonly recovery?: StoreRecovery;
  /** First backoff after a failure (100 ms); doubles with each further one. */
  readonly firstBackoffMs?: number;
  /** Longest backoff (800 ms). */
  readonly maxBackoffMs?: number;
  /** At least 0 and below 1. */
  readonly random?: () => number;
  /** Steady clock (`performance.now`). */
  readonly nowMs?: () => number;
}

const DEFAULT_FIRST_BACKOFF_MS = 100;
const DEFAULT_MAX_BACKOFF_MS = 800;
/**
 * Time within which operators and endpoints write their rows again after the
 * store was set back.
 */
const REWRITTEN_WITHIN_MS = 5000;
/** A poll that ends later than this after its wait is logged. */
const LATE_POLL_MS = 250;
/** Pause after a reading that is older than the known version. */
const STALE_READ_PAUSE_MS = 250;

/** Owns the polling loop; never goes back to an older version. */
export class TableFollower {
  private version: StoreVersion | undefined;
  private minVersion = ABSENT;
  /** Era of the last whole read. */
  private era = 0;
  private isRereadDue = false;
  private currentAsOfMs = Number.NEGATIVE_INFINITY;
  private failures = 0;
  /** Pause after the latest read. */
  private pauseMs = 0;
  private hasReadWhole = false;
  private readonly stopping = new AbortController();
  private readonly random: () => number;
  private readonly nowMs: () => number;
  private readonly recovery: StoreRecovery;

  constructor(private readonly options: TableFollowerOptions) {
    this.random = options.random ?? Math.random;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.recovery = options.recovery ?? new StoreRecovery();
  }

  get isDisturbed(): boolean {
    return this.failures > 0;
  }

  /**
   * Known version of the store; undefined before the first whole read, and
   * while one is needed because the history is gone.
   */
  get knownVersion(): StoreVersion | undefined {
    return this.version;
  }

  /**
   * The time as of which the rows are known to be complete: the store has
   * accepted no other change before. -Infinity when it isn't known.
   */
  get asOfMs(): number {
    return this.currentAsOfMs;
  }

  start(): void {
    void this.run();
  }

  /** Ends a poll in progress, too: it would keep the process from exiting. */
  stop(): void {
    this.stopping.abort();
  }

  private get isStopped(): boolean {
    return this.stopping.signal.aborted;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const pauseMs = await this.readOnce().catch((error: unknown) =>
        this.fail(String(error)),
      );
      if (pauseMs > 0) await this.pause(pauseMs);
    }
  }

  private async pause(pauseMs: number): Promise<void> {
    const pauses: Promise<void>[] = [];
    if (this.version !== undefined) {
      pauses.push(this.options.table.waitForNews(this.version, pauseMs));
    }
    if (this.isDisturbed || this.version === undefined) {
      pauses.push(this.recovery.wait(pauseMs));
    }
    await Promise.race(pauses);
  }

  /** @returns the pause before the next read. */
  async readOnce(): Promise<number> {
    const {table} = this.options;
    // After a failure the poll is short: a long poll sent while the network is
    // cut off would hang for its whole wait after the connection is back.
    const waitMs = this.isDisturbed ? PROBE_WAIT_MS : this.waitMs();
    if (this.isRereadDue) this.rereadWhole(this.version);
    const since = this.version;
    const sentAtMs = this.nowMs();
    const reading =
      since === undefined
        ? await table.readAll()
        : await table.waitForChanges(since, waitMs, this.stopping.signal);
    if (this.isStopped) return 0;
    this.logLatePoll(reading, waitMs, this.nowMs() - sentAtMs);
    this.pauseMs = this.take(reading, since);
    return this.pauseMs;
  }

  private logLatePoll(
    {kind}: TableReading,
    waitMs: number,
    tookMs: number,
  ): void {
    if (tookMs < waitMs + LATE_POLL_MS) return;
    const {table, logger} = this.options;
    logger.info('poll_late', {
      table: table.name,
      outcome: kind,
      waitMs: Math.round(waitMs),
      tookMs: Math.round(tookMs),
    });
  }

  private originOf(reading: RowsReading): RowsOrigin {
    const {isRelayed, arrivedAtMs} = reading;
    const nowMs = this.nowMs();
    const asOfMs = this.dateOf(reading);
    return {
      path: isRelayed === true ? 'relay' : 'store',
      ageMs: Number.isFinite(asOfMs) ? Math.round(nowMs - asOfMs) : undefined,
      heldMs: Math.round(nowMs - (arrivedAtMs ?? nowMs)),
    };
  }

  private waitMs(): number {
    const {waitMs, includesPause = false} = this.options.pace();
    return includesPause
      ? Math.max(PROBE_WAIT_MS, waitMs - this.pauseMs)
      : waitMs;
  }

  private take(reading: TableReading, since: StoreVersion | undefined): number {
    switch (reading.kind) {
      case 'unavailable':
        return this.fail(reading.reason);
      case 'history_gone':
        this.options.logger.warn('table_history_gone', {
          table: this.options.table.name,
          sinceVersion: since,
        });
        return this.rereadWhole(since);
      case 'rows':
        if (reading.isRelayed === true) this.leaveStore();
        else this.recover();
        if (reading.clock !== undefined) this.options.onClock?.(reading.clock);
        return this.takeRows(reading, since);
    }
  }

  /** Requests a whole read, which must not be older than the known version. */
  private rereadWhole(since: StoreVersion | undefined): number {
    this.minVersion = latestVersion(this.minVersion, since ?? ABSENT);
    this.version = undefined;
    this.isRereadDue = false;
    return 0;
  }

  private takeRows(
    reading: RowsReading,
    since: StoreVersion | undefined,
  ): number {
    const {listener, table, logger} = this.options;
    if (since !== undefined) {
      if (isOlderVersion(reading.version, since))
        return this.skipStale(reading);
      this.version = reading.version;
      this.noteDate(reading);
      if (reading.rows.length > 0) {
        const origin = this.originOf(reading);
        this.deliver(reading.rows, origin, () =>
          listener.changed(reading.rows, origin),
        );
      }
      this.options.onReading?.(reading, false);
      // Relays batch updates themselves; followers need no extra delay.
      const isGathered = reading.rows.length === 0 || reading.isRelayed;
      return isGathered ? 0 : this.options.pace().gatherMs;
    }
    if (isOlderVersion(reading.version, this.minVersion)) {
      return this.skipStale(reading);
    }
    const isSetBack = this.hasReadWhole && eraOf(reading.version) > this.era;
    const missedForMs = this.nowMs() - this.currentAsOfMs;
    if (isSetBack) this.scheduleReread();
    this.era = eraOf(reading.version);
    this.version = reading.version;
    this.noteDate(reading);
    const origin = this.originOf(reading);
    this.deliver(reading.rows, origin, () =>
      listener.replaced(reading.rows, {
        isSetBack,
        era: this.era,
        origin,
        missedForMs,
      }),
    );
    this.options.onReading?.(reading, true);
    logger.info('table_read', {
      table: table.name,
      version: reading.version,
      rows: reading.rows.length,
      isSetBack,
    });
    const {gatherMs, initialDelayMs} = this.options.pace();
    const isFirst = !this.hasReadWhole;
    this.hasReadWhole = true;
    return isFirst ? (initialDelayMs ?? gatherMs) : gatherMs;
  }

  /**
   * Delivers rows to the listener, one by one if it throws: a row that it can't
   * apply must not keep it from the others, now or in any later read.
   */
  private deliver(
    rows: readonly FollowedRow[],
    origin: RowsOrigin,
    deliverAll: () => void,
  ): void {
    const {listener, table, logger} = this.options;
    try {
      deliverAll();
      return;
    } catch (error) {
      const fields = {table: table.name, rows: rows.length};
      logger.error('rows_not_applied', {...fields, error: String(error)});
    }
    for (const row of rows) {
      try {
        listener.changed([row], origin);
      } catch (error) {
        const fields = {table: table.name, key: row.key};
        logger.error('row_not_applied', {...fields, error: String(error)});
      }
    }
  }

  private noteDate(reading: RowsReading): void {
    this.currentAsOfMs = Math.max(this.currentAsOfMs, this.dateOf(reading));
  }

  /** The time as of which rows are complete, or earlier; -Infinity: unknown. */
  private dateOf({clock, asOfMs}: RowsReading): number {
    const {dateOf = ({sentAtMs}: StoreClockReading) => sentAtMs} = this.options;
    const dateMs = clock === undefined ? asOfMs : dateOf(clock);
    return dateMs ?? Number.NEGATIVE_INFINITY;
  }

  /** Reads the table whole again once what was lost has been written again. */
  private scheduleReread(): void {
    setTimeout(() => (this.isRereadDue = true), REWRITTEN_WITHIN_MS).unref();
  }

  private skipStale({version}: RowsReading): number {
    const known = latestVersion(this.minVersion, this.version ?? ABSENT);
    this.options.logger.warn('table_read_stale', {
      table: this.options.table.name,
      era: eraOf(version),
      version: numberOf(version),
      knownEra: eraOf(known),
      knownVersion: numberOf(known),
    });
    return STALE_READ_PAUSE_MS;
  }

  private fail(reason: string): number {
    const {table, logger, listener} = this.options;
    if (this.failures === 0) {
      logger.warn('store_lost', {table: table.name, reason});
    }
    this.failures += 1;
    listener.disturbed();
    const firstMs = this.options.firstBackoffMs ?? DEFAULT_FIRST_BACKOFF_MS;
    const maxMs = this.options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
    const backoffMs = Math.min(maxMs, firstMs * 2 ** (this.failures - 1));
    return this.recovery.noteFailure(
      this,
      backoffMs * (0.5 + this.random() / 2),
    );
  }

  /** What a relay sends doesn't show that the store can be reached from here. */
  private leaveStore(): void {
    this.failures = 0;
    this.recovery.noteLeft(this);
  }

  private recover(): void {
    if (this.failures === 0) return;
    this.options.logger.info('store_regained', {
      table: this.options.table.name,
      failures: this.failures,
      lastPauseMs: Math.round(this.pauseMs),
    });
    this.failures = 0;
    this.recovery.noteSuccess(this);
  }
}
