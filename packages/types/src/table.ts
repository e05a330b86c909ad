/**
 * The platform's transactional table as the agreement protocols see it: rows
 * with versions, and transactions of checks and writes.
 */

/** A row; versions start at 1 and rise with each write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Holds only if the row has this version; 0 means that it must not exist. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** `null` deletes the row. */
export interface RowWrite {
  readonly key: string;
  readonly value: unknown;
}

/** All checks hold and all writes are done, or nothing is. */
export interface TableTransaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/**
 * - `committed`: all of it took effect.
 * - `conflict`: a check failed, nothing took effect.
 * - `unknown`: no answer; it may have taken effect, or may yet.
 */
export type TransactionResult =
  | {
      readonly kind: 'committed';
      /** New version of each row written. */
      readonly versions: Readonly<Record<string, number>>;
    }
  | {
      readonly kind: 'conflict';
      /** The rows whose checks failed, as they are; absent ones as version 0. */
      readonly rows: readonly Row[];
    }
  | {readonly kind: 'unknown'; readonly reason: string};

/** `unavailable`: nothing was learnt. */
export type ReadResult =
  | {readonly kind: 'rows'; readonly rows: readonly Row[]}
  | {readonly kind: 'unavailable'; readonly reason: string};
