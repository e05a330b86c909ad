/** Reads sealed usage windows for operators. */

import {
  PROGRESS_KEY,
  sealKey,
  windowAt,
  type ProgressValue,
  type SealValue,
} from '@snipestage/agreement/usage_rows.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {UsageLine} from '@snipestage/types/platform_messages.js';

const SHOWN_WINDOW_COUNT = 10;

/** A sealed usage window. */
export interface SealedWindow {
  readonly window: string;
  readonly startEpochMs: number;
  readonly reported: boolean;
  readonly lines: readonly UsageLine[];
}

/** The last sealed windows, or the reason why they can't be read. */
export type SealedWindows =
  | {readonly kind: 'windows'; readonly windows: readonly SealedWindow[]}
  | {readonly kind: 'unavailable'; readonly reason: string};

/**
 * Reads the newest sealed windows from the table.
 *
 * @example
 * const sealed = await readSealedWindows(platform, 60_000);
 */
export async function readSealedWindows(
  platform: Platform,
  windowMs: number,
): Promise<SealedWindows> {
  const read = await platform.readRows([PROGRESS_KEY]);
  if (read.kind === 'unavailable') return read;
  const progress = read.rows[0]?.value as ProgressValue | undefined;
  if (progress === undefined) return {kind: 'windows', windows: []};
  const starts = Array.from(
    {length: SHOWN_WINDOW_COUNT},
    (_, index) => progress.nextToSealEpochMs - (index + 1) * windowMs,
  );
  const keys = starts.map(start => sealKey(windowAt(start, windowMs)));
  const seals = await platform.readRows(keys);
  if (seals.kind === 'unavailable') return seals;
  const windows = starts.flatMap((startEpochMs, index) => {
    const row = seals.rows.find(({key}) => key === keys[index]);
    if (row === undefined) return [];
    const {lines} = row.value as SealValue;
    const reported = startEpochMs < progress.nextToReportEpochMs;
    const window = windowAt(startEpochMs, windowMs);
    return [{window, startEpochMs, reported, lines}];
  });
  return {kind: 'windows', windows};
}
