/** Counts crashes that several instances may have reported in pieces. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {CrashRecord} from './crash_records.js';

/**
 * Several instances see one crash of an endpoint at nearly the same time; what
 * they see within this time counts as one crash.
 */
export const SAME_CRASH_WINDOW_MS = 5000;

/**
 * Whether the endpoint was found to be down.
 *
 * @example
 * const confirmed = crashes.filter(isConfirmed);
 */
export function isConfirmed(crash: CrashRecord): boolean {
  return crash.isConfirmed;
}

/**
 * Counts crashes; one that several instances saw counts once.
 *
 * @example
 * if (countDistinct(crashes) >= 3) refuse();
 */
export function countDistinct(crashes: readonly CrashRecord[]): number {
  const inOrder = [...crashes].sort((left, right) => left.atMs - right.atMs);
  const lastAtMs = new Map<EndpointId, number>();
  const incarnations = new Set<string>();
  let count = 0;
  for (const {endpoint, endpointIncarnation, atMs, alone} of inOrder) {
    // No other request was there whose end could report the same crash, and the
    // endpoint may have come back so soon that this crash would otherwise be
    // taken for the previous one.
    if (alone) {
      count += 1;
      continue;
    }
    if (endpointIncarnation !== undefined) {
      incarnations.add(`${endpoint}/${endpointIncarnation}`);
      continue;
    }
    const last = lastAtMs.get(endpoint);
    if (last === undefined || atMs - last > SAME_CRASH_WINDOW_MS) count += 1;
    lastAtMs.set(endpoint, atMs);
  }
  return count + incarnations.size;
}
