/**
 * Decides when a suspect part of a prompt is tried again. One answer that begins
 * shows that it doesn't crash endpoints, and a trial of one that does costs an
 * endpoint; so all instances together make few of them.
 */

import type {PromptPartId} from '@snipestage/types/ids.js';
import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';

/** Trials of a part since its last one that passed, as the store has them. */
export interface TrialCount {
  readonly part: PromptPartId;
  readonly count: number;
  readonly rowVersion: StoreVersion;
}

/** Options of {@link PartTrials}; default in brackets. */
export interface PartTrialsOptions {
  /**
   * Time from one trial to the next; there are no more of them (none before the
   * first, 5 seconds, 30 seconds).
   */
  readonly delaysMs?: readonly number[];
}

const DEFAULT_DELAYS_MS: readonly number[] = [0, 5000, 30_000];

interface KnownCount {
  readonly count: number;
  readonly rowVersion: StoreVersion;
  /** When it was learnt; an instance that starts takes old trials for new. */
  readonly learntAtMs: number;
}

const NO_TRIALS: KnownCount = {
  count: 0,
  rowVersion: ABSENT,
  learntAtMs: Number.NEGATIVE_INFINITY,
};

/** Times are milliseconds of one monotonic clock. */
export class PartTrials {
  private readonly known = new Map<PromptPartId, KnownCount>();
  private readonly delaysMs: readonly number[];

  constructor(options: PartTrialsOptions = {}) {
    this.delaysMs = options.delaysMs ?? DEFAULT_DELAYS_MS;
  }

  learn({part, count, rowVersion}: TrialCount, nowMs: number): void {
    const before = this.known.get(part);
    if (before !== undefined && before.rowVersion >= rowVersion) return;
    this.known.set(part, {count, rowVersion, learntAtMs: nowMs});
  }

  /** Forgets all counts, as the store was set back. */
  clear(): void {
    this.known.clear();
  }

  /**
   * Time until a request with these suspect parts may be tried; undefined if
   * there are no more trials.
   *
   * @example
   * if (trials.waitMs(decision.parts, nowMs) === 0) claim(decision.parts);
   */
  waitMs(parts: readonly PromptPartId[], nowMs: number): number | undefined {
    const waits = parts.map(part => this.waitOf(part, nowMs));
    if (waits.some(wait => wait === undefined)) return undefined;
    return Math.max(0, ...waits.map(wait => wait ?? 0));
  }

  /** What the store has to hold for a trial, and what it holds after it. */
  readCount(part: PromptPartId): TrialCount {
    const {count, rowVersion} = this.known.get(part) ?? NO_TRIALS;
    return {part, count, rowVersion};
  }

  private waitOf(part: PromptPartId, nowMs: number): number | undefined {
    const {count, learntAtMs} = this.known.get(part) ?? NO_TRIALS;
    const delayMs = this.delaysMs[count];
    if (delayMs === undefined) return undefined;
    return count === 0 ? 0 : Math.max(0, learntAtMs + delayMs - nowMs);
  }
}
