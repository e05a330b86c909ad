/** Draws when the store comes back from an older copy of itself. */

import {STORE_SET_BACK, type PlannedFault} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';

/** Options of {@link drawStoreSetBacks}. */
export interface StoreSetBacksOptions {
  readonly seed: number;
  /** The store goes away for the last time within this time. */
  readonly forMs: number;
}

/** The target of a fault selects the age of the copy, in this many steps. */
export const COPY_AGE_STEPS = 50;

/**
 * Draws set-backs, now and then two in quick succession.
 *
 * @example
 * const faults = drawStoreSetBacks({seed: 7, forMs: 20_000});
 */
export function drawStoreSetBacks(
  options: StoreSetBacksOptions,
): PlannedFault[] {
  return drawSequentialFaults({
    ...options,
    kind: STORE_SET_BACK,
    targetCount: COPY_AGE_STEPS,
    firstAtMs: 2500,
    durationRangeMs: [100, 1200],
    intervalRangeMs: [200, 16_000],
  });
}
