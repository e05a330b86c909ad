/**
 * Rows of usage windows.
 *
 * - `usage/counters/<window>/<instance>/<incarnation>`: cumulative figures.
 * - `usage/seals/<window>`: the figures to report, never rewritten.
 * - `usage/accounted/<window>`: how much of each counter of the window is in
 *   seals: its own window's and, for late counters, those of later windows.
 * - `usage/progress`: which windows are sealed and reported, in order.
 */

import {
  brandAs,
  type Incarnation,
  type InstanceId,
  type UsageWindowId,
} from '@snipestage/types/ids.js';
import type {
  UsageFigures,
  UsageLine,
} from '@snipestage/types/platform_messages.js';
import type {RowWrite} from '@snipestage/types/table.js';

export const COUNTERS_PREFIX = 'usage/counters/';
const ACCOUNTED_PREFIX = 'usage/accounted/';
export const PROGRESS_KEY = 'usage/progress';
const SEALS_PREFIX = 'usage/seals/';
const EPOCH_DIGITS = 15;

/** Value of a counter row; a higher sequence includes all lower ones. */
export interface CounterValue {
  readonly sequence: number;
  readonly lines: readonly UsageLine[];
}

/** Value of a seal row. */
export interface SealValue {
  readonly lines: readonly UsageLine[];
}

/** Value of an accounted row: by counter key, the value already in seals. */
export interface AccountedValue {
  readonly counters: Readonly<Record<string, CounterValue>>;
}

/** Value of the progress row: starts of the next windows to seal and report. */
export interface ProgressValue {
  readonly nextToSealEpochMs: number;
  readonly nextToReportEpochMs: number;
}

/**
 * The window that contains an instant.
 *
 * @example
 * windowAt(90_000, 60_000); // '000000000060000'
 */
export function windowAt(epochMs: number, windowMs: number): UsageWindowId {
  const startMs = Math.floor(epochMs / windowMs) * windowMs;
  return brandAs<UsageWindowId>(String(startMs).padStart(EPOCH_DIGITS, '0'));
}

/**
 * @example
 * windowStart(windowAt(90_000, 60_000)); // 60000
 */
export function windowStart(window: UsageWindowId): number {
  return Number(window);
}

/** Key of the counter row of one incarnation of an instance. */
export function counterKey(
  window: UsageWindowId,
  instance: InstanceId,
  incarnation: Incarnation,
): string {
  return `${COUNTERS_PREFIX}${window}/${instance}/${incarnation}`;
}

/**
 * The window that a counter or accounted row belongs to.
 *
 * @example
 * windowOfKey('usage/accounted/000000000060000'); // '000000000060000'
 */
export function windowOfKey(key: string): UsageWindowId {
  return brandAs<UsageWindowId>(key.split('/')[2]);
}

/** Key of a window's seal. */
export function sealKey(window: UsageWindowId): string {
  return SEALS_PREFIX + window;
}

/**
 * Whether a write is that of a seal.
 *
 * @example
 * const isSealing = transaction.writes.some(isSeal);
 */
export function isSeal({key, value}: RowWrite): boolean {
  return value !== null && key.startsWith(SEALS_PREFIX);
}

/** Key of the row that records how much of a window's counters is in seals. */
export function accountedKey(window: UsageWindowId): string {
  return ACCOUNTED_PREFIX + window;
}

/**
 * Adds lines by client account and request class; with `sign` -1 it subtracts
 * `right`. Lines whose figures are all zero are left out; the others are sorted.
 *
 * @example
 * const lines = addLines(sealed, late);
 */
export function addLines(
  left: readonly UsageLine[],
  right: readonly UsageLine[],
  sign: 1 | -1 = 1,
): readonly UsageLine[] {
  const sums = new Map<string, UsageLine>();
  const add = (line: UsageLine, factor: 1 | -1) => {
    const key = JSON.stringify([line.clientAccount, line.requestClass]);
    sums.set(key, {...line, ...addFigures(sums.get(key), line, factor)});
  };
  left.forEach(line => add(line, 1));
  right.forEach(line => add(line, sign));
  return [...sums.entries()]
    .filter(
      ([, line]) => line.requests || line.promptTokens || line.outputTokens,
    )
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([, line]) => line);
}

function addFigures(
  sum: UsageFigures | undefined,
  figures: UsageFigures,
  factor: 1 | -1,
): UsageFigures {
  return {
    requests: (sum?.requests ?? 0) + factor * figures.requests,
    promptTokens: (sum?.promptTokens ?? 0) + factor * figures.promptTokens,
    outputTokens: (sum?.outputTokens ?? 0) + factor * figures.outputTokens,
  };
}
