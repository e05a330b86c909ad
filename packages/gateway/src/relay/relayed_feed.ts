/** Queue of a relay's updates of one table. */

import type {FollowedRow} from '../table_follower.js';
import type {TableChanges} from './table_copy.js';

/**
 * A relay that has gone silent looks like a calm store. So it confirms that it
 * has asked the store, at least as often as promised; without such a word the
 * feed is stale and the store is asked directly.
 */
export class RelayedFeed {
  private rows: FollowedRow[] = [];
  private coveredFrom = Number.POSITIVE_INFINITY;
  private version = 0;
  private confirmedAtMs = Number.NEGATIVE_INFINITY;
  private waiting = new Set<() => void>();

  /** @param freshForMs how long a confirmation holds. */
  constructor(readonly freshForMs: number) {}

  isFresh(nowMs: number): boolean {
    return nowMs - this.confirmedAtMs < this.freshForMs;
  }

  /** Whether nothing after the version is missing. */
  covers(version: number): boolean {
    return version >= this.coveredFrom;
  }

  /**
   * The relay's word: changes, or that there were none.
   *
   * @param asOfMs the store is shown as it was at this time, or later.
   */
  take(changes: TableChanges, asOfMs: number): void {
    if (changes.since > this.version || !this.covers(changes.since)) {
      this.rows = [];
      this.coveredFrom = changes.since;
    }
    this.rows.push(...changes.rows);
    this.version = changes.version;
    this.confirmedAtMs = Math.max(this.confirmedAtMs, asOfMs);
    this.wake();
  }

  /** The relay is gone, or no longer to be believed. */
  close(): void {
    this.rows = [];
    this.coveredFrom = Number.POSITIVE_INFINITY;
    this.confirmedAtMs = Number.NEGATIVE_INFINITY;
    this.wake();
  }

  /** Rows after a version, taken out of the feed. */
  drain(known: number): TableChanges {
    const rows = this.rows.filter(row => row.version > known);
    this.rows = [];
    this.coveredFrom = Math.max(known, this.version);
    return {since: known, version: Math.max(known, this.version), rows};
  }

  get hasRows(): boolean {
    return this.rows.length > 0;
  }

  /** Resolves with the next word of the relay, or after the time. */
  next(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(finish);
    });
  }

  private wake(): void {
    for (const finish of [...this.waiting]) finish();
  }
}
