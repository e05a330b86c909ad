/** Draws when instances lose their links to all endpoints. */

import {INSTANCE_CUT, type PlannedFault} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';
import {LINK_CUTS, type LinkState} from './world/link_preamble.js';

/** Options of {@link drawInstanceCuts}. */
export interface InstanceCutsOptions {
  readonly seed: number;
  /** Cuts start within this time. */
  readonly forMs: number;
}

/** Which instances lose their links, and how. */
export interface InstanceCut {
  readonly state: LinkState;
  /** Indices of instances. */
  readonly instances: readonly number[];
}

/** Some instances anywhere, or most or all of one data centre. */
const EXTENTS = ['some', 'most', 'all'] as const;
const SOME_SHARE = 0.34;
const MOST_SHARE = 0.67;

/**
 * Draws cuts that last well beyond the time after which instances have to serve
 * again.
 *
 * @example
 * const faults = drawInstanceCuts({seed: 7, forMs: 20_000});
 */
export function drawInstanceCuts(options: InstanceCutsOptions): PlannedFault[] {
  return drawSequentialFaults({
    ...options,
    kind: INSTANCE_CUT,
    targetCount: 1000,
    firstAtMs: 1500,
    durationRangeMs: [6000, 11_000],
    intervalRangeMs: [500, 6000],
  });
}

/**
 * Derives a cut from the target of a fault.
 *
 * @param dataCentres indices of the instances of each data centre.
 * @example
 * const {state, instances} = readInstanceCut(fault.target, [[0, 1], [2, 3]]);
 */
export function readInstanceCut(
  target: number,
  dataCentres: ReadonlyArray<readonly number[]>,
): InstanceCut {
  const state = LINK_CUTS[target % LINK_CUTS.length];
  const rest = Math.floor(target / LINK_CUTS.length);
  const extent = EXTENTS[rest % EXTENTS.length];
  const choice = Math.floor(rest / EXTENTS.length);
  const all = dataCentres.flat();
  const place = dataCentres[choice % dataCentres.length];
  switch (extent) {
    case 'some':
      return {state, instances: takeShare(rotate(all, choice), SOME_SHARE)};
    case 'most':
      return {state, instances: takeShare(rotate(place, choice), MOST_SHARE)};
    case 'all':
      return {state, instances: place};
  }
}

function takeShare(indices: readonly number[], share: number) {
  return indices.slice(0, Math.max(1, Math.round(indices.length * share)));
}

function rotate(indices: readonly number[], by: number): readonly number[] {
  const start = by % indices.length;
  return [...indices.slice(start), ...indices.slice(0, start)];
}
