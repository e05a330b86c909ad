/** Draws when the operator evacuates a data centre. */

import {drawSequentialFaults} from './sequential_faults.js';
import {EVACUATE, type PlannedFault} from './fault_plan.js';

/** Options of {@link drawEvacuations}. */
export interface EvacuationsOptions {
  readonly seed: number;
  /** Evacuations start within this time. */
  readonly forMs: number;
  readonly dataCentres: number;
}

/**
 * Draws evacuations of one data centre after another. A single data centre is
 * never evacuated, since there is no other to take its requests.
 *
 * @example
 * const faults = drawEvacuations({seed: 7, forMs: 20_000, dataCentres: 3});
 */
export function drawEvacuations(options: EvacuationsOptions): PlannedFault[] {
  const {seed, forMs, dataCentres} = options;
  if (dataCentres < 2) return [];
  return drawSequentialFaults({
    kind: EVACUATE,
    seed,
    forMs,
    targetCount: dataCentres,
    firstAtMs: 2000,
    durationRangeMs: [3000, 6000],
    intervalRangeMs: [500, 8000],
  });
}
