/** The transactional table of the platform stand-in, in memory. */

import {
  ABSENT,
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {Row, TableTransaction} from '@snipestage/types/table.js';

/** How a transaction ended. */
export type TableOutcome =
  | {
      readonly kind: 'committed';
      readonly versions: Readonly<Record<string, StoreVersion>>;
    }
  | {readonly kind: 'conflict'; readonly rows: readonly Row[]};

interface StoredRow {
  /** Keeps increasing when the row is deleted and written again. */
  version: StoreVersion;
  value: unknown;
}

/** Rows with versions; a row with the value `null` is deleted. */
export class Table {
  private readonly storedRows = new Map<string, StoredRow>();

  /**
   * Reads rows by key; absent ones are left out.
   *
   * @example
   * table.read(['configuration/head']);
   */
  read(keys: readonly string[]): Row[] {
    return keys.map(key => this.rowOf(key)).filter(row => row.version > 0);
  }

  /**
   * Reads the rows whose keys start with the prefix, in key order.
   *
   * @example
   * table.scan('lease/');
   */
  scan(prefix: string): Row[] {
    const keys = [...this.storedRows.keys()].filter(key =>
      key.startsWith(prefix),
    );
    return this.read(keys.sort());
  }

  /**
   * Writes everything if all checks hold, otherwise nothing.
   *
   * @example
   * table.transact({
   *   checks: [{key: 'lease/orders', version: ABSENT}],
   *   writes: [{key: 'lease/orders', value: {holder: 'akl-a-1'}}],
   * });
   */
  transact(transaction: TableTransaction): TableOutcome {
    const failed = transaction.checks
      .filter(check => this.rowOf(check.key).version !== check.version)
      .map(check => this.rowOf(check.key));
    if (failed.length > 0) return {kind: 'conflict', rows: failed};
    const versions: Record<string, StoreVersion> = {};
    for (const {key, value} of transaction.writes) {
      const number = (this.storedRows.get(key)?.version ?? 0) + 1;
      const version = composeStoreVersion({era: 0, number});
      this.storedRows.set(key, {version, value});
      versions[key] = version;
    }
    return {kind: 'committed', versions};
  }

  private rowOf(key: string): Row {
    const row = this.storedRows.get(key);
    if (row === undefined || row.value === null) {
      return {key, version: ABSENT, value: null};
    }
    return {key, version: row.version, value: row.value};
  }
}
