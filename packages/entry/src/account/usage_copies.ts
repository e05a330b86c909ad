/** Copies of other instances' counters, written when such an instance dies. */

import {findRow} from '@snipestage/agreement/table_effects.js';
import {planCopyWrite} from '@snipestage/agreement/usage_counters.js';
import type {CounterValue} from '@snipestage/agreement/usage_rows.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {Incarnation} from '@snipestage/types/ids.js';
import {applyChange, type UsageCopyChange} from './usage_copy.js';

const CHECK_EVERY_MS = 1000;
/** Windows kept of one life; more only while the table is away for long. */
const MOST_WINDOWS = 60;

/** Options of {@link UsageCopies}. */
export interface UsageCopiesOptions {
  readonly platform: Platform;
  /** Whether that life of an instance is still there. */
  readonly isPresent: (incarnation: Incarnation) => boolean;
}

/** The newest copies of each life of an instance. */
export class UsageCopies {
  private readonly copies = new Map<Incarnation, Map<string, CounterValue>>();
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;

  constructor(private readonly options: UsageCopiesOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.writeOfTheDead(), CHECK_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Takes in what has changed in the counters of one life. */
  take(incarnation: Incarnation, changes: readonly UsageCopyChange[]): void {
    const copies = this.copies.get(incarnation) ?? new Map();
    this.copies.set(incarnation, copies);
    for (const change of changes) {
      const value = applyChange(copies.get(change.key), change);
      if (value === undefined) copies.delete(change.key);
      else copies.set(change.key, value);
    }
    forgetFormer(copies);
  }

  snapshot(): object {
    return {incarnations: [...this.copies.keys()]};
  }

  private async writeOfTheDead(): Promise<void> {
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
      // Whatever comes of it, the rows are read again before they are left.
      await this.options.platform.transact(transaction);
      isWritten = false;
    }
    return isWritten;
  }
}

/** Windows follow one another, and old ones have long been written. */
function forgetFormer(copies: Map<string, CounterValue>): void {
  const keys = [...copies.keys()].sort();
  for (const key of keys.slice(0, -MOST_WINDOWS)) copies.delete(key);
}
