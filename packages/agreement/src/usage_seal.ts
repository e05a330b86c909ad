/**
 * Contents of a seal: the window's counters, and late counters of windows that
 * were sealed before. Each part of a counter is in exactly one seal, because the
 * transaction that writes the seal also records how much of each counter is in
 * seals (the accounted rows).
 *
 * The same transaction deletes old rows, so that scans stay short: counters of
 * former windows that are fully in seals, and the accounted row of a window past
 * its retention. If a counter is written again after its row was deleted, only
 * the part that is not accounted yet is sealed. Deletions can't be transactions
 * of their own: one that arrives late could delete a row that was written anew
 * under the same version, whereas a seal takes effect once for each state of the
 * progress row.
 */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {UsageWindowId} from '@snipestage/types/ids.js';
import type {
  UsageLine,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {Row, RowWrite, TableTransaction} from '@snipestage/types/table.js';
import {findRow} from './table_effects.js';
import {
  accountedKey,
  addLines,
  PROGRESS_KEY,
  sealKey,
  windowAt,
  windowOfKey,
  windowStart,
  type AccountedValue,
  type CounterValue,
  type ProgressValue,
  type SealValue,
} from './usage_rows.js';

const DEFAULT_COUNTER_RETENTION_WINDOW_COUNT = 10;
const DEFAULT_ACCOUNTED_RETENTION_MS = 7 * 24 * 60 * 60 * 1000;

/** Options of {@link composeSeal}. */
export interface SealOptions {
  readonly window: UsageWindowId;
  readonly windowMs: number;
  readonly counters: readonly Row[];
  readonly accounted: readonly Row[];
  readonly progress: Row;
  readonly fence: {readonly key: string; readonly version: StoreVersion};
  /**
   * How long after its window's start a counter row whose value is in seals is
   * kept; ten windows if absent.
   */
  readonly counterRetentionMs?: number;
  /**
   * How long after a window's start its accounted row is kept. A counter of the
   * window that is written still later would be billed again, so no instance may
   * write one by then. Seven days if absent.
   */
  readonly accountedRetentionMs?: number;
}

/**
 * The transaction that seals a window, unless it is sealed already: it checks
 * the progress row, which changes with each seal, and the fence row, which
 * changes with each holder of the lease.
 *
 * @example
 * const transaction = composeSeal(options);
 */
export function composeSeal(options: SealOptions): TableTransaction {
  const {window, windowMs, progress, fence} = options;
  const {
    counterRetentionMs = DEFAULT_COUNTER_RETENTION_WINDOW_COUNT * windowMs,
  } = options;
  const counters = options.counters
    .filter(row => windowOfKey(row.key) <= window)
    .map(row => ({row, unsealed: findUnsealedLines(row, options.accounted)}));
  const parts = counters.filter(({unsealed}) => unsealed.length > 0);
  const settled = counters.filter(({unsealed}) => unsealed.length === 0);
  const old = settled
    .map(({row}) => row)
    .filter(row => isOlder(row, window, counterRetentionMs));
  const lines = parts.reduce<readonly UsageLine[]>(
    (sum, {unsealed}) => addLines(sum, unsealed),
    [],
  );
  const seal: SealValue = {lines};
  const former = progress.value as ProgressValue;
  const next: ProgressValue = {
    ...former,
    nextToSealEpochMs: windowStart(window) + windowMs,
  };
  return {
    checks: [
      {key: fence.key, version: fence.version},
      {key: PROGRESS_KEY, version: progress.version},
      {key: sealKey(window), version: ABSENT},
      ...old.map(({key, version}) => ({key, version})),
    ],
    writes: [
      ...old.map(({key}) => ({key, value: null})),
      ...composeAccountedDeletion(options),
      {key: sealKey(window), value: seal},
      {key: PROGRESS_KEY, value: next},
      ...composeAccounted(
        parts.map(({row}) => row),
        options.accounted,
      ),
    ],
  };
}

/**
 * The report of the window that starts at `startEpochMs`, with the figures of
 * its seal.
 *
 * @example
 * const report = composeReport(nextToReportEpochMs, windowMs, seal);
 */
export function composeReport(
  startEpochMs: number,
  windowMs: number,
  {lines}: SealValue,
): UsageReport {
  const window = windowAt(startEpochMs, windowMs);
  return {window, startEpochMs, endEpochMs: startEpochMs + windowMs, lines};
}

function findUnsealedLines(
  row: Row,
  accounted: readonly Row[],
): readonly UsageLine[] {
  const counter = row.value as CounterValue;
  const sealed = accountedOf(windowOfKey(row.key), accounted)[row.key];
  if (sealed === undefined) {
    return counter.lines;
  }
  // A peer may write its older copy after a newer row was sealed and deleted.
  // The difference would be negative and would reduce the bill.
  const newer = counter.sequence > sealed.sequence;
  return newer ? addLines(counter.lines, sealed.lines, -1) : [];
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
        counters[key] = value as CounterValue;
      }
    }
    return {key: accountedKey(window), value: {counters}};
  });
}

function isOlder(row: Row, than: UsageWindowId, byMs: number): boolean {
  return windowStart(windowOfKey(row.key)) + byMs <= windowStart(than);
}

/**
 * Deletes the accounted row of the window that passes its retention with this
 * seal. Windows are sealed one after another, so each gets its turn once.
 */
function composeAccountedDeletion(options: SealOptions): readonly RowWrite[] {
  const {
    window,
    windowMs,
    accountedRetentionMs = DEFAULT_ACCOUNTED_RETENTION_MS,
  } = options;
  const startMs = windowStart(window) - accountedRetentionMs;
  if (startMs < 0) {
    return [];
  }
  return [{key: accountedKey(windowAt(startMs, windowMs)), value: null}];
}
