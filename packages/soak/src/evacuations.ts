/** When operators evacuate a data centre. */

import {randomInt, randomLcg, randomUniform} from 'd3-random';
import {EVACUATE, type PlannedFault} from './fault_plan.js';

/** What the evacuations are drawn from. */
export interface EvacuationsOptions {
  readonly seed: number;
  /** Evacuations begin within this time. */
  readonly forMs: number;
  readonly dataCentres: number;
}

const FIRST_AT_MS = 2000;
const SHORTEST_MS = 3000;
const LONGEST_MS = 6000;
const SHORTEST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 8000;

/**
 * One data centre after the other; with a single one there is nowhere to go.
 *
 * @example
 * const faults = drawEvacuations({seed: 7, forMs: 20_000, dataCentres: 3});
 */
export function drawEvacuations(options: EvacuationsOptions): PlannedFault[] {
  const {seed, forMs, dataCentres} = options;
  if (dataCentres < 2) return [];
  const source = randomLcg(seed);
  const drawForMs = randomUniform.source(source)(SHORTEST_MS, LONGEST_MS);
  const drawPauseMs = randomUniform.source(source)(
    SHORTEST_PAUSE_MS,
    LONGEST_PAUSE_MS,
  );
  const drawTarget = randomInt.source(source)(dataCentres);
  const faults: PlannedFault[] = [];
  for (let atMs = FIRST_AT_MS; atMs < forMs; atMs += drawPauseMs()) {
    const lastsMs = Math.round(drawForMs());
    faults.push({
      kind: EVACUATE,
      atMs: Math.round(atMs),
      forMs: lastsMs,
      target: drawTarget(),
    });
    atMs += lastsMs;
  }
  return faults;
}
