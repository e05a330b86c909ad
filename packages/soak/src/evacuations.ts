/** When operators evacuate a data centre. */

import {drawInTurn} from './drawn_in_turn.js';
import {EVACUATE, type PlannedFault} from './fault_plan.js';

/** What the evacuations are drawn from. */
export interface EvacuationsOptions {
  readonly seed: number;
  /** Evacuations begin within this time. */
  readonly forMs: number;
  readonly dataCentres: number;
}

/**
 * One data centre after the other; with a single one there is nowhere to go.
 *
 * @example
 * const faults = drawEvacuations({seed: 7, forMs: 20_000, dataCentres: 3});
 */
export function drawEvacuations(options: EvacuationsOptions): PlannedFault[] {
  const {seed, forMs, dataCentres} = options;
  if (dataCentres < 2) return [];
  return drawInTurn({
    kind: EVACUATE,
    seed,
    forMs,
    targets: dataCentres,
    firstAtMs: 2000,
    lastsMs: [3000, 6000],
    pauseMs: [500, 8000],
  });
}
