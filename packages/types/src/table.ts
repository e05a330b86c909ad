/**
 * The platform's transactional table, as the agreement protocols use it: rows
 * with versions, and transactions that combine checks and writes.
 */

import type {StoreVersion} from './store_version.js';

/** A row; its version starts at 1 and increases with each write. */
export interface Row {
  readonly key: string;
  readonly version: StoreVersion;
  readonly value: unknown;
}

/** Requires that the row has this version; 0 requires that it is absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: StoreVersion;
}

/** Sets the value of a row; `null` deletes the row. */
export interface RowWrite {
  readonly key: string;
  readonly value: unknown;
}

/** Atomic: if all checks hold, all writes are done, otherwise none is. */
export interface TableTransaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/**
 * - `committed`: all writes took effect.
 * - `conflict`: a check failed; nothing took effect.
 * - `unknown`: no answer, or one that does not settle it; the writes may have
 *   taken effect, or still may.
 */
export type TransactionResult =
  | {
      readonly kind: 'committed';
      /** The new version of each row that was written. */
      readonly versions: Readonly<Record<string, StoreVersion>>;
    }
  | {
      readonly kind: 'conflict';
      /** Current state of the rows whose checks failed; version 0 if absent. */
      readonly rows: readonly Row[];
    }
  | {readonly kind: 'unknown'; readonly reason: string};

/** `unavailable`: the table could not be read; nothing is known of the rows. */
export type ReadResult =
  | {readonly kind: 'rows'; readonly rows: readonly Row[]}
  | {readonly kind: 'unavailable'; readonly reason: string};
