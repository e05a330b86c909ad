/**
 * What a seal contains: the window's counters, and what came late for windows
 * that were sealed before. Each part of a counter is in exactly one seal: how
 * much of it is, is written in the same transaction as the seal.
 *
 * The same transaction also clears up, so that scans stay short: counters of
 * former windows that are in seals, and what was accounted of a window long
 * past. A counter that is written again after its row was deleted is still only
 * sealed for what is not accounted. Deleting apart from the seal would not do:
 * a deletion that arrives late could hit a row that was written anew under the
 * same version; a seal takes effect once for each state of the progress row.
 */

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

const KEPT_WINDOWS = 10;
const SEVEN_DAYS_MS = 7 * 24 * 60 * 60 * 1000;

/** What a seal is made from. */
export interface SealOptions {
  readonly window: UsageWindowId;
  readonly windowMs: number;
  readonly counters: readonly Row[];
  readonly accounted: readonly Row[];
  readonly progress: Row;
  readonly fence: {readonly key: string; readonly version: number};
  /**
   * How long after its window's start a counter that is in seals is kept; ten
   * windows if absent.
   */
  readonly keepCountersMs?: number;
  /**
   * How long after its window's start it is known what was accounted. A counter
   * that comes still later would be billed again: instances must be gone by
   * then. Seven days if absent.
   */
  readonly keepAccountedMs?: number;
}

/**
 * The transaction that seals a window, and only if no one has: the progress row
 * changes with each seal, and the fence row with each holder of the lease.
 *
 * @example
 * const transaction = composeSeal(options);
 */
export function composeSeal(options: SealOptions): TableTransaction {
  const {window, windowMs, progress, fence} = options;
  const {keepCountersMs = KEPT_WINDOWS * windowMs} = options;
  const counters = options.counters
    .filter(row => windowOfKey(row.key) <= window)
    .map(row => ({row, missing: findMissing(row, options.accounted)}));
  const parts = counters.filter(({missing}) => missing.length > 0);
  const settled = counters.filter(({missing}) => missing.length === 0);
  const old = settled
    .map(({row}) => row)
    .filter(row => isOlder(row, window, keepCountersMs));
  const lines = parts.reduce<readonly UsageLine[]>(
    (sum, {missing}) => addLines(sum, missing),
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
      {key: sealKey(window), version: 0},
      ...old.map(({key, version}) => ({key, version})),
    ],
    writes: [
      ...old.map(({key}) => ({key, value: null})),
      ...forgetWindow(options),
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
 * The report of the window that begins at `startEpochMs`, with the figures of
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

function findMissing(
  row: Row,
  accounted: readonly Row[],
): readonly UsageLine[] {
  const counter = row.value as CounterValue;
  const sealed = accountedOf(windowOfKey(row.key), accounted)[row.key];
  if (sealed === undefined) {
    return counter.lines;
  }
  // A peer's older copy may stand where a newer row was sealed and cleared up;
  // the difference would be taken off the bill.
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

/** Windows are sealed one after another, so each is once the one to forget. */
function forgetWindow(options: SealOptions): readonly RowWrite[] {
  const {window, windowMs, keepAccountedMs = SEVEN_DAYS_MS} = options;
  const startMs = windowStart(window) - keepAccountedMs;
  if (startMs < 0) {
    return [];
  }
  return [{key: accountedKey(windowAt(startMs, windowMs)), value: null}];
}
