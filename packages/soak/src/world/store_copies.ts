/** Keeps copies of the store, to one of which it may come back. */

import type {StoreStandIn} from '@snipestage/platform_stand_ins/store_stand_in.js';
import type {TablesCopy} from '@snipestage/platform_stand_ins/versioned_table.js';

const COPY_EVERY_MS = 100;

/** Owns the timer that makes the copies. */
export class StoreCopies {
  /** The newest is the last one. */
  private readonly copies: TablesCopy[] = [];
  private timer: NodeJS.Timeout | undefined;

  /** @param count number of copies that are kept. */
  constructor(
    private readonly store: StoreStandIn,
    private readonly count: number,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      this.copies.push(this.store.tables.copy());
      if (this.copies.length > this.count) this.copies.shift();
    }, COPY_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Sets the store back.
   *
   * @param steps age of the copy, in copies; at most the oldest is used.
   */
  setBack(steps: number): void {
    const copy = this.copies.at(-1 - steps) ?? this.copies[0];
    if (copy !== undefined) this.store.setBack(copy);
  }
}
