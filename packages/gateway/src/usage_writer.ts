/** Writes this instance's usage counts, which the reporter adds up. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {
  windowAt,
  type UsageCounts,
  type UsageWindows,
  type WindowNumber,
} from '@snipestage/routing/usage_windows.js';
import {
  countsKey,
  partialCountsKey,
  toCountsValue,
  type CountsValue,
} from './usage_rows.js';

/** Options of {@link UsageWriter}. */
export interface UsageWriterOptions {
  readonly platform: Platform;
  readonly windows: UsageWindows;
  readonly clock: AgreedClock;
  /** Unique among all incarnations of all instances. */
  readonly writer: string;
  readonly windowMs: number;
  /** Interval at which the counts of the current window are written. */
  readonly writeEveryMs: () => number;
  readonly nowMs: () => number;
  readonly logger: Logger;
  /** Writes a row in a batch; false: the row has to be written directly. */
  readonly writeBatched?: (key: string, value: unknown) => Promise<boolean>;
  /** Whether the store is unavailable; only a stop writes then (never). */
  readonly isStoreUnavailable?: () => boolean;
  /** Whether a relay writes this instance's rows in batches. */
  readonly hasBatchedWrites?: () => boolean;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
  /** Demand on each service's routes as this instance measures it. */
  readonly readDemands: () => CountsValue['demands'];
}

/** Interval of checks for counts to be written. */
const TICK_MS = 250;
/** Number of past windows whose counts are kept in memory. */
const KEPT_WINDOW_COUNT = 6;

/** Windows whose counts are written again; earlier ones are sealed. */
const REWRITTEN_WINDOW_COUNT = 3;
/** Share of a window over which instances rewrite their counts. */
const REWRITE_SPREAD_SHARE = 0.4;

/** Pause after a failed write, which limits warnings about the store. */
const PAUSE_AFTER_FAILURE_MS = 1000;

interface Written {
  readonly total: number;
  readonly isFinal: boolean;
  readonly atMs: number;
}

/**
 * Writes a window as soon as it has ended, and the current one at intervals, so
 * that a killed instance loses few counts.
 */
export class UsageWriter {
  private readonly written = new Map<WindowNumber, Written>();
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;
  private pausedUntilMs = 0;
  private isStopping = false;

  constructor(private readonly options: UsageWriterOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.tick(), TICK_MS);
  }

  /**
   * Writes the counts of recent windows again, as the store may have lost them.
   * Instances do so one after the other.
   */
  rewrite(): void {
    const {nowMs, windowMs, random = Math.random} = this.options;
    const current = this.currentWindow();
    for (const window of [...this.written.keys()]) {
      if (window + REWRITTEN_WINDOW_COUNT > current)
        this.written.delete(window);
    }
    this.pausedUntilMs = nowMs() + random() * windowMs * REWRITE_SPREAD_SHARE;
  }

  /** Writes everything that is not written yet. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.isStopping = true;
    for (const window of this.options.windows.list()) await this.write(window);
  }

  private async tick(): Promise<void> {
    const {nowMs, isStoreUnavailable} = this.options;
    const isPaused =
      nowMs() < this.pausedUntilMs || isStoreUnavailable?.() === true;
    if (this.isWriting || isPaused) return;
    this.isWriting = true;
    // An instance without requests writes too: the reporter would wait for it.
    this.options.windows.open(this.currentWindow());
    try {
      for (const window of this.options.windows.list()) {
        if (!this.isDue(window)) continue;
        if (!(await this.write(window))) break;
      }
      this.forget();
    } finally {
      this.isWriting = false;
    }
  }

  private isDue(window: WindowNumber): boolean {
    const {windows, nowMs, writeEveryMs} = this.options;
    const total = totalOf(windows.read(window));
    const written = this.written.get(window);
    const isSame = (written?.total ?? 0) === total;
    if (this.hasEnded(window)) return !isSame || written?.isFinal !== true;
    const atMs = nowMs();
    const lastAtMs = written?.atMs ?? this.firstSeenAt(window, atMs);
    return !isSame && atMs - lastAtMs >= writeEveryMs();
  }

  private hasEnded(window: WindowNumber): boolean {
    return this.currentWindow() > window;
  }

  private currentWindow(): WindowNumber {
    const {clock, nowMs, windowMs} = this.options;
    return windowAt(clock.epochAt(nowMs()), windowMs);
  }

  private readonly firstSeenAtMs = new Map<WindowNumber, number>();

  private firstSeenAt(window: WindowNumber, atMs: number): number {
    const known = this.firstSeenAtMs.get(window) ?? atMs;
    this.firstSeenAtMs.set(window, known);
    return known;
  }

  /** @returns false when the counts have to be written again. */
  private async write(window: WindowNumber): Promise<boolean> {
    const {windows, nowMs} = this.options;
    const counts = windows.read(window);
    const total = totalOf(counts);
    const isFinal = this.isStopping || this.hasEnded(window);
    const written = this.written.get(window);
    if (written?.total === total && written.isFinal) return true;
    const isWritten = isFinal
      ? await this.writeFinal(window, counts)
      : await this.writePartial(window, counts);
    if (isWritten) {
      this.written.set(window, {total, isFinal, atMs: nowMs()});
      return true;
    }
    this.pausedUntilMs = nowMs() + PAUSE_AFTER_FAILURE_MS;
    return false;
  }

  private async writeFinal(
    window: WindowNumber,
    counts: UsageCounts,
  ): Promise<boolean> {
    const {writer, readDemands} = this.options;
    const key = countsKey(window, writer);
    const value = toCountsValue(counts, true, readDemands());
    // A stopping instance can't wait for a batch.
    const isBatched = !this.isStopping && (await this.writeBatched(key, value));
    return isBatched || this.writeDirectly(key, value);
  }

  private async writePartial(
    window: WindowNumber,
    counts: UsageCounts,
  ): Promise<boolean> {
    const {writer, hasBatchedWrites} = this.options;
    const key = partialCountsKey(window, writer);
    const value = toCountsValue(counts, false);
    // If the relay fails, the final counts follow soon anyway.
    if (hasBatchedWrites?.() !== true) return this.writeDirectly(key, value);
    await this.writeBatched(key, value);
    return true;
  }

  private async writeBatched(
    key: string,
    value: CountsValue,
  ): Promise<boolean> {
    return (await this.options.writeBatched?.(key, value)) ?? false;
  }

  private async writeDirectly(
    key: string,
    value: CountsValue,
  ): Promise<boolean> {
    const {platform, logger} = this.options;
    const result = await platform.transact({
      checks: [],
      writes: [{key, value}],
    });
    if (result.kind === 'committed') return true;
    const reason = result.kind === 'unknown' ? result.reason : result.kind;
    logger.warn('usage_not_written', {key, reason});
    return false;
  }

  private forget(): void {
    const {windows} = this.options;
    const current = this.currentWindow();
    for (const window of windows.list()) {
      if (window + KEPT_WINDOW_COUNT >= current) continue;
      windows.forget(window);
      this.written.delete(window);
      this.firstSeenAtMs.delete(window);
    }
  }
}

function totalOf(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
