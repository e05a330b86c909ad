/** Rows that hold the usage counts of windows. */

import type {RouteDemand} from '@snipestage/routing/demand_meter.js';
import type {
  UsageCounts,
  WindowNumber,
} from '@snipestage/routing/usage_windows.js';
import type {ClientAccountId} from '@snipestage/types/ids.js';
import type {Row} from '@snipestage/types/table.js';
import {readCountsValue} from './row_schemas.js';

/** Value of a row of counts, and of a seal. */
export interface CountsValue {
  readonly counts: Readonly<Record<string, number>>;
  /**
   * Written at the window's end or the writer's stop: no more counts follow.
   */
  readonly isFinal: boolean;
  /** Demand on each service's routes as the writer measured it by then. */
  readonly demands?: Readonly<Record<string, readonly RouteDemand[]>>;
}

/** Suffix of the keys of partial counts. */
const PARTIAL = '~';
const COUNTS_KEY = /^usage\/\d+\/[^/]+$/;

/**
 * Key of the final counts of one incarnation of an instance in a window.
 *
 * @example
 * countsKey(window, 'akl-a-1.k3x9'); // 'usage/353445120/akl-a-1.k3x9'
 */
export function countsKey(window: WindowNumber, writer: string): string {
  return `${countsPrefix(window)}${writer}`;
}

/**
 * Key of the partial counts of a running window. It differs from the key of the
 * final counts: a write through a relay, or one without an answer, may take
 * effect after a later one.
 *
 * @example
 * partialCountsKey(window, 'akl-a-1.k3x9'); // 'usage/353445120/akl-a-1.k3x9~'
 */
export function partialCountsKey(window: WindowNumber, writer: string): string {
  return `${countsKey(window, writer)}${PARTIAL}`;
}

/**
 * Whether a key belongs to counts, which relays write for their followers.
 *
 * @example
 * isCountsKey('usage/353445120/akl-a-1.k3x9'); // true
 */
export function isCountsKey(key: unknown): key is string {
  return typeof key === 'string' && COUNTS_KEY.test(key);
}

/** Prefix of the keys of all counts of a window. */
export function countsPrefix(window: WindowNumber): string {
  return `usage/${window}/`;
}

/** Key of the one figure of a window that is ever reported. */
export function sealKey(window: WindowNumber): string {
  return `seals/${window}`;
}

export function toCountsValue(
  counts: UsageCounts,
  isFinal: boolean,
  demands: CountsValue['demands'] = {},
): CountsValue {
  return {counts: Object.fromEntries(counts), isFinal, demands};
}

/**
 * Counts by writer: the final ones where they exist, else the partial ones.
 *
 * @example
 * const byWriter = latestByWriter(rows);
 */
export function latestByWriter(
  rows: readonly Row[],
): ReadonlyMap<string, CountsValue> {
  const latest = new Map<string, CountsValue>();
  for (const {key, value} of rows) {
    const name = key.slice(key.lastIndexOf('/') + 1);
    const isFinalKey = !name.endsWith(PARTIAL);
    const writer = isFinalKey ? name : name.slice(0, -PARTIAL.length);
    const counts = readCountsValue(value);
    if (counts === undefined || (!isFinalKey && latest.has(writer))) continue;
    latest.set(writer, counts);
  }
  return latest;
}

/** @returns undefined when the value has another shape. */
export function fromCountsValue(value: unknown): UsageCounts | undefined {
  const counts = readCountsValue(value)?.counts;
  if (counts === undefined) return undefined;
  return new Map(Object.entries(counts) as Array<[ClientAccountId, number]>);
}

/** Key of the row with the first window that is not known to be reported. */
export const PROGRESS_KEY = 'progress/usage';

/** Value of the row at {@link PROGRESS_KEY}. */
export interface ProgressValue {
  readonly next: number;
}
