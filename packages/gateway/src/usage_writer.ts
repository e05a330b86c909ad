/** Writes what this instance counted, so that the reporter can add it up. */

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

/** What a {@link UsageWriter} is made from. */
export interface UsageWriterOptions {
  readonly platform: Platform;
  readonly windows: UsageWindows;
  readonly clock: AgreedClock;
  /** Unlike that of any other life of any instance. */
  readonly writer: string;
  readonly windowMs: number;
  /** How often the window that runs is written. */
  readonly writeEveryMs: () => number;
  readonly nowMs: () => number;
  readonly logger: Logger;
  /** Writes a row with those of others; false: it has to be written alone. */
  readonly writeBatched?: (key: string, value: unknown) => Promise<boolean>;
  /** Nothing is written while the store is unavailable (never). */
  readonly isStoreAway?: () => boolean;
  /** Whether a relay writes this instance's rows in batches. */
  readonly hasBatchedWrites?: () => boolean;
  /** What this instance sees of each service's routes. */
  readonly readDemands: () => CountsValue['demands'];
}

/** How often it looks for what is to be written. */
const TICK_MS = 250;
/** Windows are kept in memory for so long after their end. */
const KEEP_WINDOWS = 6;

/** Pause after a write that failed: the store is told to be away once. */
const PAUSE_AFTER_FAILURE_MS = 1000;

interface Written {
  readonly total: number;
  readonly isFinal: boolean;
  readonly atMs: number;
}

/**
 * A window that has ended is written at once; one that runs, now and then, so
 * that an instance that is killed takes little with it.
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

  /** Writes everything that is not written yet. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.isStopping = true;
    for (const window of this.options.windows.list()) await this.write(window);
  }

  private async tick(): Promise<void> {
    const {nowMs, isStoreAway} = this.options;
    const isPaused = nowMs() < this.pausedUntilMs || isStoreAway?.() === true;
    if (this.isWriting || isPaused) return;
    this.isWriting = true;
    // An instance without requests says so: the reporter would wait for it.
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
    const lastAtMs = written?.atMs ?? this.firstLookAt(window, atMs);
    return !isSame && atMs - lastAtMs >= writeEveryMs();
  }

  private hasEnded(window: WindowNumber): boolean {
    return this.currentWindow() > window;
  }

  private currentWindow(): WindowNumber {
    const {clock, nowMs, windowMs} = this.options;
    return windowAt(clock.epochAt(nowMs()), windowMs);
  }

  private readonly firstLook = new Map<WindowNumber, number>();

  private firstLookAt(window: WindowNumber, atMs: number): number {
    const known = this.firstLook.get(window) ?? atMs;
    this.firstLook.set(window, known);
    return known;
  }

  /** @returns whether the store has it. */
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
    // An instance that stops can't wait for a batch.
    const isBatched = !this.isStopping && (await this.writeBatched(key, value));
    return isBatched || this.writeAlone(key, value);
  }

  private async writePartial(
    window: WindowNumber,
    counts: UsageCounts,
  ): Promise<boolean> {
    const {writer, hasBatchedWrites} = this.options;
    const key = partialCountsKey(window, writer);
    const value = toCountsValue(counts, false);
    // If the relay fails, the final counts follow soon anyway.
    if (hasBatchedWrites?.() !== true) return this.writeAlone(key, value);
    await this.writeBatched(key, value);
    return true;
  }

  private async writeBatched(
    key: string,
    value: CountsValue,
  ): Promise<boolean> {
    return (await this.options.writeBatched?.(key, value)) ?? false;
  }

  private async writeAlone(key: string, value: CountsValue): Promise<boolean> {
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
      if (window + KEEP_WINDOWS >= current) continue;
      windows.forget(window);
      this.written.delete(window);
      this.firstLook.delete(window);
    }
  }
}

function totalOf(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
