/** Reports the usage of each window with a single, fixed figure. */

import {ABSENT, eraOf} from '@snipestage/types/store_version.js';
import type {Row} from '@snipestage/types/table.js';
import {fenceKey} from '@snipestage/agreement/lease_rows.js';
import {findRow} from '@snipestage/agreement/table_effects.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform, SendGuard} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {
  sumCounts,
  windowAt,
  type UsageCounts,
  type WindowNumber,
} from '@snipestage/routing/usage_windows.js';
import {
  brandAs,
  type LeaseName,
  type UsageWindowId,
} from '@snipestage/types/ids.js';
import type {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import type {DutyTerm} from './duty_term.js';
import type {EraStart} from './era_start.js';
import {readCount} from './row_schemas.js';
import {
  countsPrefix,
  PROGRESS_KEY,
  type ProgressValue,
  fromCountsValue,
  latestByWriter,
  sealKey,
  toCountsValue,
  type CountsValue,
} from './usage_rows.js';

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly platform: Platform;
  readonly lease: Pick<LeaseTask, 'held'>;
  readonly leaseName: LeaseName;
  readonly term: DutyTerm;
  readonly clock: AgreedClock;
  readonly eraStart: Pick<EraStart, 'read'>;
  readonly windowMs: number;
  readonly dueAfterMs: number;
  readonly nowMs: () => number;
  readonly logger: Logger;
  /**
   * Called with all instances' rows, once each has written a window's counts.
   */
  readonly onRows?: (rows: readonly CountsValue[]) => void;
}

/** Whether all instances have written a window, or it is too late to wait. */
type Readiness = 'waiting' | 'complete' | 'late';

const TICK_MS = 500;
/**
 * Pause between reads while counts are missing: each takes two priced calls.
 */
const RESCAN_PAUSE_MS = 1000;
/**
 * Counts are first read this share of `dueAfterMs` after the end of their
 * window, by when all instances may have written them.
 */
const COLLECT_SHARE = 0.2;
/**
 * Share of `dueAfterMs` for which the reporter waits for instances that have
 * not written: they may be cut off from the store and write as soon as they are
 * back. The rest is left for the report.
 */
const MAX_WAIT_SHARE = 0.65;
/** The store accepts this many rows in one transaction. */
const MAX_ROWS_PER_TRANSACTION = 90;
/**
 * Replaces {@link MAX_WAIT_SHARE} while more final counts arrive, as after an
 * outage of the store: a window sealed as soon as the store is back would lack
 * what was counted during the outage.
 */
const EXTENDED_WAIT_SHARE = 0.85;
/** Own seals that are remembered; earlier windows are past their due time. */
const REMEMBERED_SEAL_COUNT = 8;
/** A new holder looks back this many `dueAfterMs` for unreported windows. */
const LOOK_BACK_DUE_TIMES = 3;

/**
 * The figure is sealed in the store before it is sent, in a transaction that
 * checks the lease's fence. Later holders report the same seal, so that
 * no window ever gets two figures, and a repeated report is identical.
 */
export class UsageReporter {
  private timer: NodeJS.Timeout | undefined;
  private isBusy = false;
  private pausedUntilMs = 0;
  private nextWindow: WindowNumber | undefined;
  private tokenOfNext: number | undefined;
  /** Number of final rows when the counts were last read. */
  private seen:
    {readonly window: WindowNumber; readonly final: number} | undefined;
  /** Keys of the counts in the last seal. */
  private countedKeys: readonly string[] = [];
  /** Figures that this process has sealed, also in a former era of the store. */
  private readonly ownSeals = new Map<WindowNumber, UsageCounts>();
  /** Writers of the previous window, which are expected to write again. */
  private writers: ReadonlySet<string> = new Set();

  constructor(private readonly options: UsageReporterOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Seals and reports the next window once its counts may be read. */
  async tick(): Promise<void> {
    const {term, clock, nowMs} = this.options;
    const {token} = term;
    const isPaused = this.isBusy || nowMs() < this.pausedUntilMs;
    if (isPaused || token === undefined || !clock.isTied) return;
    this.isBusy = true;
    try {
      const window = await this.chooseWindow(token, clock.epochAt(nowMs()));
      if (window !== undefined) await this.handle(window);
    } finally {
      this.isBusy = false;
    }
  }

  private async chooseWindow(
    token: number,
    epochMs: number,
  ): Promise<WindowNumber | undefined> {
    const {windowMs, dueAfterMs} = this.options;
    if (this.tokenOfNext !== token || this.nextWindow === undefined) {
      const next = await this.readProgress();
      if (next === undefined) return undefined;
      const first = windowAt(
        epochMs - LOOK_BACK_DUE_TIMES * dueAfterMs,
        windowMs,
      );
      this.nextWindow = Math.max(first, next) as WindowNumber;
      this.tokenOfNext = token;
    }
    const endsAtMs = (this.nextWindow + 1) * windowMs;
    const isReady = epochMs >= endsAtMs + COLLECT_SHARE * dueAfterMs;
    return isReady ? this.nextWindow : undefined;
  }

  /** @returns undefined when the store is unavailable. */
  private async readProgress(): Promise<number | undefined> {
    const result = await this.options.platform.readRows([PROGRESS_KEY]);
    if (result.kind === 'unavailable') return undefined;
    const row = findRow(result.rows, PROGRESS_KEY);
    return readCount((row.value as ProgressValue | null)?.next) ?? 0;
  }

  /**
   * Saves the progress for a successor and removes the counts; the seal stays.
   * Failures are harmless: a repeated report is ignored.
   */
  private async finish(window: WindowNumber): Promise<void> {
    const next: ProgressValue = {next: window + 1};
    const removals = this.countedKeys.map(key => ({key, value: null}));
    this.countedKeys = [];
    const writes = [{key: PROGRESS_KEY, value: next}, ...removals];
    for (
      let begin = 0;
      begin < writes.length;
      begin += MAX_ROWS_PER_TRANSACTION
    ) {
      const batch = writes.slice(begin, begin + MAX_ROWS_PER_TRANSACTION);
      await this.options.platform.transact({checks: [], writes: batch});
    }
  }

  private async handle(window: WindowNumber): Promise<void> {
    const guard = this.options.term.guard();
    const sealed = await this.findOrSeal(window);
    if (sealed === undefined) return;
    const isDone =
      sealed.size === 0 || (await this.report(window, sealed, guard));
    if (!isDone) return;
    const next = (window + 1) as WindowNumber;
    this.nextWindow = next;
    if (sealed.size > 0) await this.finish(window);
  }

  /**
   * The figure of a window; empty if there is none to report.
   *
   * @returns undefined when it isn't known yet.
   */
  private async findOrSeal(
    window: WindowNumber,
  ): Promise<UsageCounts | undefined> {
    const row = await this.readSeal(window);
    if (row === undefined) return undefined;
    const stored = fromCountsValue(row.value);
    if (stored !== undefined) return stored;
    // Nothing can be written in its place: the row is there.
    if (row.value !== null) return this.skip(window, 'its seal is malformed');
    const own = this.ownSeals.get(window);
    if (own !== undefined) return this.writeSeal(window, own);
    const sinceEpochMs = await this.options.eraStart.read(eraOf(row.version));
    if (sinceEpochMs === undefined) return undefined;
    if (!this.mayHaveBeenSealedBefore(window, sinceEpochMs)) {
      return this.seal(window);
    }
    return this.skip(window, 'its seal may have been lost');
  }

  /** @returns that there is nothing to report. */
  private skip(window: WindowNumber, reason: string): UsageCounts {
    this.options.logger.warn('usage_window_skipped', {window, reason});
    return new Map();
  }

  /** No window is sealed before its counts may be collected. */
  private mayHaveBeenSealedBefore(
    window: WindowNumber,
    epochMs: number,
  ): boolean {
    const {windowMs, dueAfterMs} = this.options;
    const endsAtMs = (window + 1) * windowMs;
    return endsAtMs + COLLECT_SHARE * dueAfterMs <= epochMs;
  }

  /** @returns undefined when the store is unavailable. */
  private async readSeal(window: WindowNumber): Promise<Row | undefined> {
    const key = sealKey(window);
    const result = await this.options.platform.readRows([key]);
    if (result.kind === 'unavailable') {
      this.options.logger.warn('seal_not_read', {
        window,
        reason: result.reason,
      });
      return undefined;
    }
    return findRow(result.rows, key);
  }

  /**
   * @returns undefined when the window isn't known to be sealed; a later tick
   *   reads the seal first.
   */
  private async seal(window: WindowNumber): Promise<UsageCounts | undefined> {
    const result = await this.options.platform.scanRows(countsPrefix(window));
    if (result.kind === 'unavailable') return undefined;
    const byWriter = latestByWriter(result.rows);
    const readiness = this.assessReadiness(window, byWriter);
    if (readiness === 'waiting') return undefined;
    const values = [...byWriter.values()];
    const parts = values.map(fromCountsValue);
    if (parts.length === 0) return new Map();
    // Demand of only some instances would shift the split of the engines on all
    // of them, and back again once the rest have written.
    if (readiness === 'complete') {
      this.options.onRows?.(values);
    }
    const total = sumCounts(parts.filter(part => part !== undefined));
    const sealed = await this.writeSeal(window, total, parts.length);
    if (sealed !== undefined) {
      this.countedKeys = result.rows.map(row => row.key);
    }
    return sealed;
  }

  /** @returns undefined when the window isn't known to be sealed. */
  private async writeSeal(
    window: WindowNumber,
    total: UsageCounts,
    writers?: number,
  ): Promise<UsageCounts | undefined> {
    const {platform, lease, leaseName, logger} = this.options;
    const {held} = lease;
    if (held === undefined) return undefined;
    const key = sealKey(window);
    const fence = {key: fenceKey(leaseName), version: held.fenceVersion};
    const outcome = await platform.transact({
      checks: [{key, version: ABSENT}, fence],
      writes: [{key, value: toCountsValue(total, true)}],
    });
    logger.info('usage_sealed', {
      window,
      writers,
      outcome: outcome.kind,
      requests: [...total.values()].reduce((sum, count) => sum + count, 0),
    });
    if (outcome.kind !== 'committed') return undefined;
    this.rememberSeal(window, total);
    return total;
  }

  private rememberSeal(window: WindowNumber, total: UsageCounts): void {
    this.ownSeals.set(window, total);
    for (const sealed of this.ownSeals.keys()) {
      if (sealed + REMEMBERED_SEAL_COUNT < window) this.ownSeals.delete(sealed);
    }
  }

  /** Judges whether to seal a window; pauses further reads if not. */
  private assessReadiness(
    window: WindowNumber,
    byWriter: ReadonlyMap<string, CountsValue>,
  ): Readiness {
    const {clock, nowMs, windowMs, dueAfterMs} = this.options;
    const isFinal = (writer: string) => byWriter.get(writer)?.isFinal === true;
    const expected = [...byWriter.keys(), ...this.writers];
    const isComplete = expected.every(isFinal);
    const endedAtMs = (window + 1) * windowMs;
    const waitedMs = clock.epochAt(nowMs()) - endedAtMs;
    const final = [...byWriter.keys()].filter(isFinal).length;
    const areStillArriving =
      this.seen?.window !== window || final > this.seen.final;
    this.seen = {window, final};
    const waitShare = areStillArriving ? EXTENDED_WAIT_SHARE : MAX_WAIT_SHARE;
    if (!isComplete && waitedMs < waitShare * dueAfterMs) {
      this.pausedUntilMs = nowMs() + RESCAN_PAUSE_MS;
      return 'waiting';
    }
    this.writers = new Set(byWriter.keys());
    return isComplete ? 'complete' : 'late';
  }

  private async report(
    window: WindowNumber,
    counts: UsageCounts,
    guard: SendGuard,
  ): Promise<boolean> {
    const {platform, windowMs, logger} = this.options;
    const lines = [...counts].map(([clientAccount, requests]) => ({
      clientAccount,
      requestClass: '',
      requests,
      promptTokens: 0,
      outputTokens: 0,
    }));
    const result = await platform.reportUsage(
      {
        window: brandAs<UsageWindowId>(String(window)),
        startEpochMs: window * windowMs,
        endEpochMs: (window + 1) * windowMs,
        lines,
      },
      guard,
    );
    logger.info('usage_reported', {
      window,
      outcome: result.kind,
      reason: result.kind === 'accepted' ? undefined : result.reason,
    });
    return result.kind === 'accepted';
  }
}
