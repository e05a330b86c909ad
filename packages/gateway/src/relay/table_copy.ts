/** A relay's copy of a table, from which changes are published. */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {FollowedRow} from '../table_follower.js';

/** What changed in a table, and up to which version. */
export interface TableChanges {
  /** The rows include all changes after this version. */
  readonly since: StoreVersion;
  readonly version: StoreVersion;
  readonly rows: readonly FollowedRow[];
}

/**
 * Number of removed rows that are kept; followers that missed more read the
 * store.
 */
const MAX_REMOVED_ROWS = 500;

/** Rows by key; removed ones are kept for a while. */
export class TableCopy {
  private rows = new Map<string, FollowedRow>();
  private removed: FollowedRow[] = [];
  private completeSince = ABSENT;
  private currentVersion: StoreVersion | undefined;

  /** Undefined until the table was read. */
  get version(): StoreVersion | undefined {
    return this.currentVersion;
  }

  /** Replaces the whole table; earlier removals are not known. */
  replace(rows: readonly FollowedRow[], version: StoreVersion): void {
    this.rows = new Map(rows.map(row => [row.key, row]));
    this.removed = [];
    this.completeSince = version;
    this.currentVersion = version;
  }

  /** Applies changes in their order, up to a version. */
  apply(rows: readonly FollowedRow[], version: StoreVersion): void {
    for (const row of rows) this.applyOne(row);
    this.currentVersion = version;
    const forgotten = this.removed.splice(
      0,
      Math.max(0, this.removed.length - MAX_REMOVED_ROWS),
    );
    const last = forgotten.at(-1);
    if (last !== undefined) this.completeSince = last.version;
  }

  /**
   * @returns changes since the version; none, with `since` at the current
   *   version, when the given one is too old or newer than the copy.
   * @example
   * const {since, rows} = copy.changesSince(known);
   */
  changesSince(known: StoreVersion): TableChanges {
    const version = this.currentVersion ?? ABSENT;
    if (known < this.completeSince || known > version) {
      return {since: version, version, rows: []};
    }
    const rows = [...this.rows.values(), ...this.removed]
      .filter(row => row.version > known)
      .sort((left, right) => left.version - right.version);
    return {since: known, version, rows};
  }

  private applyOne(row: FollowedRow): void {
    if (row.data !== undefined) {
      this.rows.set(row.key, row);
      return;
    }
    this.rows.delete(row.key);
    this.removed.push(row);
  }
}
