/** Which window to seal or report next, and the write of the progress row. */

import type {LeaseName, UsageWindowId} from '@snipestage/types/ids.js';
import type {Row, TableTransaction} from '@snipestage/types/table.js';
import {fenceKey, type LeaseTerm} from './lease_rows.js';
import {
  PROGRESS_KEY,
  windowAt,
  windowStart,
  type ProgressValue,
} from './usage_rows.js';

/** What the reporter has to do next. */
export type UsageTask =
  /** No progress row exists: it must be written before the first seal. */
  | {readonly kind: 'begin'; readonly progress: ProgressValue}
  | {readonly kind: 'report'; readonly window: UsageWindowId}
  | {readonly kind: 'seal'; readonly window: UsageWindowId}
  /** Every window whose grace period is over is sealed and reported. */
  | {readonly kind: 'rest'};

/**
 * Chooses the next task: a sealed window is reported before the next one is
 * sealed, and a window is sealed once its grace period is over.
 *
 * @example
 * const task = chooseTask(progress, Date.now(), {windowMs, graceMs});
 */
export function chooseTask(
  progress: ProgressValue | null,
  nowEpochMs: number,
  {windowMs, graceMs}: {readonly windowMs: number; readonly graceMs: number},
): UsageTask {
  if (progress === null) {
    // The first seal includes whatever was counted before its window.
    const startMs = windowStart(windowAt(nowEpochMs, windowMs));
    return {
      kind: 'begin',
      progress: {nextToSealEpochMs: startMs, nextToReportEpochMs: startMs},
    };
  }
  const {nextToSealEpochMs, nextToReportEpochMs} = progress;
  if (nextToReportEpochMs < nextToSealEpochMs) {
    return {kind: 'report', window: windowAt(nextToReportEpochMs, windowMs)};
  }
  if (nextToSealEpochMs + windowMs + graceMs > nowEpochMs) {
    return {kind: 'rest'};
  }
  return {kind: 'seal', window: windowAt(nextToSealEpochMs, windowMs)};
}

/**
 * The progress after the report of the next window was accepted or refused.
 *
 * @example
 * advanceReported({nextToSealEpochMs: 120, nextToReportEpochMs: 60}, 60);
 */
export function advanceReported(
  progress: ProgressValue,
  windowMs: number,
): ProgressValue {
  const nextToReportEpochMs = progress.nextToReportEpochMs + windowMs;
  return {...progress, nextToReportEpochMs};
}

/**
 * The transaction that writes the progress row, if the row is still at the
 * version that was read and the lease has not changed hands.
 *
 * @example
 * composeProgressWrite({lease, term, progress: row, value});
 */
export function composeProgressWrite(options: {
  readonly lease: LeaseName;
  readonly term: LeaseTerm;
  readonly progress: Row;
  readonly value: ProgressValue;
}): TableTransaction {
  const {lease, term, progress, value} = options;
  return {
    checks: [
      {key: fenceKey(lease), version: term.fenceVersion},
      {key: PROGRESS_KEY, version: progress.version},
    ],
    writes: [{key: PROGRESS_KEY, value}],
  };
}
