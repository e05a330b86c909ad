/** Faults of one kind that follow one another. */

import {randomInt, randomLcg, randomUniform} from 'd3-random';
import type {FaultKind, PlannedFault} from './fault_plan.js';

/** What a turn of faults is drawn from. */
export interface TurnOptions {
  readonly kind: FaultKind;
  readonly seed: number;
  /** They begin within this time. */
  readonly forMs: number;
  /** How many there are to choose from. */
  readonly targets: number;
  readonly firstAtMs: number;
  /** The shortest and the longest. */
  readonly lastsMs: readonly [number, number];
  /** Between two of them, the shortest and the longest. */
  readonly pauseMs: readonly [number, number];
}

/**
 * One at a time, each for a while.
 *
 * @example
 * const faults = drawInTurn({kind: EVACUATE, seed: 7, forMs: 20_000, ...turn});
 */
export function drawInTurn(options: TurnOptions): PlannedFault[] {
  const {kind, seed, forMs, targets, firstAtMs} = options;
  const source = randomLcg(seed);
  const drawForMs = randomUniform.source(source)(...options.lastsMs);
  const drawPauseMs = randomUniform.source(source)(...options.pauseMs);
  const drawTarget = randomInt.source(source)(targets);
  const faults: PlannedFault[] = [];
  for (let atMs = firstAtMs; atMs < forMs; atMs += drawPauseMs()) {
    const lastsMs = Math.round(drawForMs());
    faults.push({
      kind,
      atMs: Math.round(atMs),
      forMs: lastsMs,
      target: drawTarget(),
    });
    atMs += lastsMs;
  }
  return faults;
}
