/**
 * What a seal contains: the window's counters, and what came late for windows
 * that were sealed before. Each part of a counter is in exactly one seal: how
 * much of it is, is written in the same transaction as the seal.
 */

import type {UsageWindowId} from '@snipestage/types/ids.js';
import type {UsageLine} from '@snipestage/types/platform_messages.js';
import type {Row, RowWrite, TableTransaction} from '@snipestage/types/table.js';
import {findRow} from './table_effects.js';
import {
  accountedKey,
  addLines,
  PROGRESS_KEY,
  sealKey,
  windowOfKey,
  windowStart,
  type AccountedValue,
  type CounterValue,
  type ProgressValue,
  type SealValue,
} from './usage_rows.js';

/** What a seal is made from. */
export interface SealOptions {
  readonly window: UsageWindowId;
  readonly windowMs: number;
  readonly counters: readonly Row[];
  readonly accounted: readonly Row[];
  readonly progress: Row;
  readonly fence: {readonly key: string; readonly version: number};
}

/**
 * The transaction that seals a window, and only if no one has: the progress row
 * changes with each seal, and the fence row with each holder of the lease.
 *
 * @example
 * const transaction = composeSeal(options);
 */
export function composeSeal(options: SealOptions): TableTransaction {
  const {window, progress, fence} = options;
  const parts = options.counters
    .filter(row => windowOfKey(row.key) <= window)
    .map(row => ({row, missing: findMissing(row, options.accounted)}))
    .filter(({missing}) => missing.length > 0);
  const lines = parts.reduce<readonly UsageLine[]>(
    (sum, {missing}) => addLines(sum, missing),
    [],
  );
  const seal: SealValue = {lines};
  const former = progress.value as ProgressValue;
  const next: ProgressValue = {
    ...former,
    nextToSealEpochMs: windowStart(window) + options.windowMs,
  };
  return {
    checks: [
      {key: fence.key, version: fence.version},
      {key: PROGRESS_KEY, version: progress.version},
      {key: sealKey(window), version: 0},
    ],
    writes: [
      {key: sealKey(window), value: seal},
      {key: PROGRESS_KEY, value: next},
      ...composeAccounted(
        parts.map(({row}) => row),
        options.accounted,
      ),
    ],
  };
}

function findMissing(
  row: Row,
  accounted: readonly Row[],
): readonly UsageLine[] {
  const sealed = accountedOf(windowOfKey(row.key), accounted)[row.key] ?? [];
  return addLines((row.value as CounterValue).lines, sealed, -1);
}

function accountedOf(
  window: UsageWindowId,
  accounted: readonly Row[],
): AccountedValue['counters'] {
  const value = findRow(accounted, accountedKey(window)).value;
  return (value as AccountedValue | null)?.counters ?? {};
}

function composeAccounted(
  changed: readonly Row[],
  accounted: readonly Row[],
): readonly RowWrite[] {
  const windows = new Set(changed.map(row => windowOfKey(row.key)));
  return [...windows].map(window => {
    const counters = {...accountedOf(window, accounted)};
    for (const {key, value} of changed) {
      if (windowOfKey(key) === window) {
        counters[key] = (value as CounterValue).lines;
      }
    }
    return {key: accountedKey(window), value: {counters}};
  });
}

/**
 * Transactions that delete the counters of windows that began before an
 * instant, with what was accounted of them, one a window, conditional on each
 * row as read; a window with counters that are in no seal yet is kept.
 * Instances must have given up counters of such age: seven days and more.
 *
 * @example
 * planUsageCleanup(counters, accounted, nowEpochMs - 7 * 24 * 3_600_000);
 */
export function planUsageCleanup(
  counters: readonly Row[],
  accounted: readonly Row[],
  beforeEpochMs: number,
): readonly TableTransaction[] {
  const windows = new Set(counters.map(row => windowOfKey(row.key)));
  return [...windows]
    .filter(window => windowStart(window) < beforeEpochMs)
    .map(window => counters.filter(row => windowOfKey(row.key) === window))
    .filter(rows => rows.every(row => findMissing(row, accounted).length === 0))
    .map(rows => {
      const parts = accountedKey(windowOfKey(rows[0].key));
      const all = [...rows, findRow(accounted, parts)];
      return {
        checks: all.map(({key, version}) => ({key, version})),
        writes: all.map(({key}) => ({key, value: null})),
      };
    });
}
