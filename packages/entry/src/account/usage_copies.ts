/**
 * Copies of other instances' usage counters, written to the table when such an
 * instance dies.
 */

import {findRow} from '@snipestage/agreement/table_effects.js';
import {planCopyWrite} from '@snipestage/agreement/usage_counters.js';
import type {CounterValue} from '@snipestage/agreement/usage_rows.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {Incarnation} from '@snipestage/types/ids.js';
import {applyChange, type UsageCopyChange} from './usage_copy.js';

const CHECK_EVERY_MS = 1000;
/**
 * Windows kept per incarnation. More are unwritten only if the table is
 * unavailable for a long time.
 */
const MAX_WINDOW_COUNT = 60;

/** Options of {@link UsageCopies}. */
export interface UsageCopiesOptions {
  readonly platform: Platform;
  /** Whether that incarnation of an instance is still a member. */
  readonly isPresent: (incarnation: Incarnation) => boolean;
}

/** Holds the newest copies of the counters of each incarnation. */
export class UsageCopies {
  private readonly copies = new Map<Incarnation, Map<string, CounterValue>>();
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;

  constructor(private readonly options: UsageCopiesOptions) {}

  start(): void {
    this.timer = setInterval(
      () => void this.writeDeadIncarnations(),
      CHECK_EVERY_MS,
    );
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Applies changes to the copies of the counters of one incarnation. */
  mergeChanges(
    incarnation: Incarnation,
    changes: readonly UsageCopyChange[],
  ): void {
    const copies = this.copies.get(incarnation) ?? new Map();
    this.copies.set(incarnation, copies);
    for (const change of changes) {
      const value = applyChange(copies.get(change.key), change);
      if (value === undefined) copies.delete(change.key);
      else copies.set(change.key, value);
    }
    evictOldWindows(copies);
  }

  snapshot(): object {
    return {incarnations: [...this.copies.keys()]};
  }

  private async writeDeadIncarnations(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    try {
      for (const [incarnation, copies] of [...this.copies]) {
        if (this.options.isPresent(incarnation)) continue;
        const isWritten = await this.writeAll(copies);
        if (isWritten) this.copies.delete(incarnation);
      }
    } finally {
      this.isWriting = false;
    }
  }

  private async writeAll(
    copies: ReadonlyMap<string, CounterValue>,
  ): Promise<boolean> {
    const keys = [...copies.keys()];
    const result = await this.options.platform.readRows(keys);
    if (result.kind === 'unavailable') return false;
    let isWritten = true;
    for (const [key, value] of copies) {
      const transaction = planCopyWrite(findRow(result.rows, key), value);
      if (transaction === undefined) continue;
      // Whatever the result, the next check reads the rows again and drops the
      // copies only if nothing is left to write.
      await this.options.platform.transact(transaction);
      isWritten = false;
    }
    return isWritten;
  }
}

/**
 * Evicts the oldest windows, which were written long ago. Keys sort by window.
 */
function evictOldWindows(copies: Map<string, CounterValue>): void {
  const keys = [...copies.keys()].sort();
  for (const key of keys.slice(0, -MAX_WINDOW_COUNT)) copies.delete(key);
}
