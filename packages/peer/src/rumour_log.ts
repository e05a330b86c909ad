/** Records which rumours have been seen, so that each is passed on once. */

import type {Incarnation} from '@snipestage/types/ids.js';

const DEFAULT_CAPACITY = 20_000;

/** Evicts the oldest id first. */
export class RumourLog {
  private readonly seen = new Set<string>();
  private count = 0;

  constructor(
    private readonly incarnation: Incarnation,
    private readonly capacity = DEFAULT_CAPACITY,
  ) {}

  /** A new id for a rumour from this instance, noted as seen. */
  issueId(): string {
    this.count += 1;
    const id = `${this.incarnation}/${this.count}`;
    this.noteSeen(id);
    return id;
  }

  /** Records the id. Returns whether it was new. */
  noteSeen(id: string): boolean {
    if (this.seen.has(id)) return false;
    this.seen.add(id);
    if (this.seen.size > this.capacity) {
      const [oldest] = this.seen;
      this.seen.delete(oldest);
    }
    return true;
  }
}
