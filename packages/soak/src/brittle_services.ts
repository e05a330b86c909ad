/** Draws when the endpoints of a service are brittle. */

import {BRITTLE_SERVICE, type PlannedFault} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';

/** Options of {@link drawBrittleServices}. */
export interface BrittleServicesOptions {
  readonly seed: number;
  /** Brittle periods start within this time. */
  readonly forMs: number;
}

/**
 * Draws periods that last well beyond the contact bound.
 *
 * @example
 * const faults = drawBrittleServices({seed: 7, forMs: 20_000});
 */
export function drawBrittleServices(
  options: BrittleServicesOptions,
): PlannedFault[] {
  return drawSequentialFaults({
    ...options,
    kind: BRITTLE_SERVICE,
    targetCount: 100,
    firstAtMs: 2000,
    durationRangeMs: [7000, 12_000],
    intervalRangeMs: [500, 6000],
  });
}
