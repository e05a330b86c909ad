/** Draws rows that another writer leaves in the tables that instances read. */

import {
  listForeignRows,
  type ForeignRow,
  type ForeignRowContext,
} from '@snipestage/platform_stand_ins/foreign_rows.js';
import {drawSequentialFaults} from './sequential_faults.js';
import {FOREIGN_ROW, type PlannedFault} from './fault_plan.js';

/** Options of {@link drawForeignRows}. */
export interface ForeignRowsOptions {
  readonly seed: number;
  /** Rows are written within this time. */
  readonly forMs: number;
}

/** Apart from the seeds of other draws. */
const SEED_OFFSET = 15_485;
const TARGET_COUNT = 1000;

/**
 * Draws rows one after another. Their target is the kind of row, see
 * {@link readForeignRow}.
 *
 * @example
 * const faults = drawForeignRows({seed: 7, forMs: 20_000});
 */
export function drawForeignRows({
  seed,
  forMs,
}: ForeignRowsOptions): PlannedFault[] {
  return drawSequentialFaults({
    kind: FOREIGN_ROW,
    seed: seed + SEED_OFFSET,
    forMs,
    targetCount: TARGET_COUNT,
    firstAtMs: 700,
    durationRangeMs: [800, 4000],
    intervalRangeMs: [100, 900],
  });
}

/**
 * Returns the row for the target of a fault.
 *
 * @example
 * const {table, key, text} = readForeignRow(target, {address, window});
 */
export function readForeignRow(
  target: number,
  context: ForeignRowContext,
): ForeignRow {
  const rows = listForeignRows(context);
  return rows[target % rows.length];
}
