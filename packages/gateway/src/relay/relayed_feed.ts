/** Queue of a relay's updates of one table. */

import {
  ABSENT,
  latestVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {FollowedRow} from '../table_follower.js';
import type {TableChanges} from './table_copy.js';

/**
 * A relay that has gone silent looks like a store without changes. So a relay
 * confirms at a minimum rate that it has polled the store; without a recent
 * confirmation the feed is stale, and the store is polled directly.
 */
export class RelayedFeed {
  private rows: FollowedRow[] = [];
  private coveredFrom = Number.POSITIVE_INFINITY;
  private version = ABSENT;
  private confirmedMs = Number.NEGATIVE_INFINITY;
  private updatedMs = Number.NEGATIVE_INFINITY;
  private rowsSinceMs: number | undefined;
  private waiting = new Set<() => void>();

  /** @param freshForMs how long a confirmation is valid, from its date. */
  constructor(readonly freshForMs: number) {}

  isFresh(nowMs: number): boolean {
    return this.freshLeftMs(nowMs) > 0;
  }

  /** Time until the latest confirmation expires; 0 when it has. */
  freshLeftMs(nowMs: number): number {
    return Math.max(0, this.confirmedMs + this.freshForMs - nowMs);
  }

  /** The time as of which the feed is known to be complete. */
  get asOfMs(): number {
    return this.confirmedMs;
  }

  /** Arrival of the last update. */
  get updatedAtMs(): number {
    return this.updatedMs;
  }

  /** Arrival of the first row that waits to be drained. */
  get rowsArrivedAtMs(): number | undefined {
    return this.rowsSinceMs;
  }

  /** Whether the feed has missed no change after the version. */
  covers(version: StoreVersion): boolean {
    return version >= this.coveredFrom;
  }

  /**
   * Adds an update of the relay: changes, or a confirmation that there were
   * none.
   *
   * @param asOfMs the update reflects the store as of this time, or later.
   * @param arrivedAtMs arrival of the update, for logs.
   */
  take(
    changes: TableChanges,
    asOfMs: number,
    arrivedAtMs = performance.now(),
  ): void {
    this.updatedMs = arrivedAtMs;
    if (changes.rows.length > 0) this.rowsSinceMs ??= arrivedAtMs;
    if (changes.since > this.version || !this.covers(changes.since)) {
      this.rows = [];
      this.coveredFrom = changes.since;
    }
    this.rows.push(...changes.rows);
    this.version = changes.version;
    this.confirmedMs = Math.max(this.confirmedMs, asOfMs);
    this.wake();
  }

  /** Drops the rows and makes the feed stale, as the relay is lost. */
  close(): void {
    this.rows = [];
    this.coveredFrom = Number.POSITIVE_INFINITY;
    this.confirmedMs = Number.NEGATIVE_INFINITY;
    this.rowsSinceMs = undefined;
    this.wake();
  }

  /** Empties the feed and returns its rows after the version. */
  drain(known: StoreVersion): TableChanges {
    const rows = this.rows.filter(row => row.version > known);
    this.rows = [];
    this.rowsSinceMs = undefined;
    this.coveredFrom = latestVersion(known, this.version);
    return {since: known, version: latestVersion(known, this.version), rows};
  }

  get hasRows(): boolean {
    return this.rows.length > 0;
  }

  /**
   * Whether it has changes after the version, and has missed none. They are
   * newer than what is known, however old they are.
   */
  hasNews(since: StoreVersion): boolean {
    return this.covers(since) && this.rows.some(({version}) => version > since);
  }

  /** Drops rows up to a version, which is known from the store. */
  dropUntil(known: StoreVersion): void {
    this.rows = this.rows.filter(({version}) => version > known);
    if (!this.hasRows) this.rowsSinceMs = undefined;
  }

  /**
   * Resolves at the next update, when the feed is closed, when the wait is
   * aborted, or after `waitMs`.
   */
  next(waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(finish);
      signal?.addEventListener('abort', finish);
    });
  }

  private wake(): void {
    for (const finish of [...this.waiting]) finish();
  }
}
