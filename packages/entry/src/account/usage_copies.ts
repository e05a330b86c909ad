/** Copies of other instances' counters, written when such an instance dies. */

import {findRow} from '@snipestage/agreement/table_effects.js';
import {planCopyWrite} from '@snipestage/agreement/usage_counters.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {Incarnation} from '@snipestage/types/ids.js';
import type {UsageCopy} from './usage_counter_task.js';

const CHECK_EVERY_MS = 1000;

/** Options of {@link UsageCopies}. */
export interface UsageCopiesOptions {
  readonly platform: Platform;
  /** Whether that life of an instance is still there. */
  readonly isPresent: (incarnation: Incarnation) => boolean;
}

/** The newest copies of each life of an instance. */
export class UsageCopies {
  private readonly copies = new Map<Incarnation, readonly UsageCopy[]>();
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;

  constructor(private readonly options: UsageCopiesOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.writeOfTheDead(), CHECK_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** The last word of an instance replaces its earlier ones. */
  take(incarnation: Incarnation, copies: readonly UsageCopy[]): void {
    this.copies.set(incarnation, copies);
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

  private async writeAll(copies: readonly UsageCopy[]): Promise<boolean> {
    const keys = copies.map(({key}) => key);
    const result = await this.options.platform.readRows(keys);
    if (result.kind === 'unavailable') return false;
    let isWritten = true;
    for (const {key, value} of copies) {
      const transaction = planCopyWrite(findRow(result.rows, key), value);
      if (transaction === undefined) continue;
      // Whatever comes of it, the rows are read again before they are left.
      await this.options.platform.transact(transaction);
      isWritten = false;
    }
    return isWritten;
  }
}
