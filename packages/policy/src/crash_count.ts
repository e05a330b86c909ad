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
  return groupByCrash(crashes).length;
}

/**
 * Groups what several instances saw of one crash.
 *
 * @example
 * const groups = groupByCrash(records.all());
 */
export function groupByCrash(
  crashes: readonly CrashRecord[],
): readonly CrashRecord[][] {
  const inOrder = [...crashes].sort((left, right) => left.atMs - right.atMs);
  const groups: CrashRecord[][] = [];
  const latest = new Map<EndpointId, CrashRecord[]>();
  const incarnations = new Map<string, CrashRecord[]>();
  const begin = (crash: CrashRecord): CrashRecord[] => {
    const group = [crash];
    groups.push(group);
    return group;
  };
  for (const crash of inOrder) {
    const {endpoint, endpointIncarnation, atMs, alone} = crash;
    // No other request was there whose end could report the same crash, and the
    // endpoint may have come back so soon that this crash would otherwise be
    // taken for the previous one.
    if (alone) {
      begin(crash);
      continue;
    }
    if (endpointIncarnation !== undefined) {
      const key = `${endpoint}/${endpointIncarnation}`;
      const known = incarnations.get(key);
      if (known !== undefined) known.push(crash);
      else incarnations.set(key, begin(crash));
      continue;
    }
    const known = latest.get(endpoint);
    const lastAtMs = known?.[known.length - 1].atMs ?? Number.NEGATIVE_INFINITY;
    if (known !== undefined && atMs - lastAtMs <= SAME_CRASH_WINDOW_MS) {
      known.push(crash);
    } else {
      latest.set(endpoint, begin(crash));
    }
  }
  return groups;
}
