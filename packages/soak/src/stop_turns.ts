/**
 * Draws turns, in which the instances of one data centre stop one after
 * another.
 */

import {randomInt, randomLcg, randomUniform} from 'd3-random';
import type {PlannedFault} from './fault_plan.js';

/** Options of {@link drawStopTurns}. */
export interface StopTurnsOptions {
  readonly seed: number;
  /** Turns start within this time. */
  readonly forMs: number;
  /** Indexes of the instances of each data centre. */
  readonly dataCentres: ReadonlyArray<readonly number[]>;
  /** Mean time from the start of a turn to that of the next, in ms (15,000). */
  readonly everyMs?: number;
}

/**
 * About twice the time that an instance takes to stop and to be ready again.
 */
const DEFAULT_EVERY_MS = 15_000;
/** By then callers have long streams in flight. */
const FIRST_TURN_AT_MS = 3000;
/**
 * Gaps are much shorter than the grace time, so that the stops of a turn
 * overlap.
 */
const MIN_GAP_MS = 200;
const MAX_GAP_MS = 900;

/**
 * Draws turns of stops. A turn stops all instances of a data centre or all but
 * one, each while the previous ones still finish their requests. Only then does
 * a balancer fall back on instances out of rotation or on another data centre.
 *
 * @example
 * const stops = drawStopTurns({seed: 7, forMs: 20_000, dataCentres: [[0, 2, 4]]});
 */
export function drawStopTurns(options: StopTurnsOptions): PlannedFault[] {
  const {seed, forMs, dataCentres, everyMs = DEFAULT_EVERY_MS} = options;
  const source = randomLcg(seed);
  const drawPauseMs = randomUniform.source(source)(everyMs / 2, everyMs * 1.5);
  const drawGapMs = randomUniform.source(source)(MIN_GAP_MS, MAX_GAP_MS);
  const drawIndex = (count: number) => randomInt.source(source)(count)();
  const stops: PlannedFault[] = [];
  for (let turnMs = FIRST_TURN_AT_MS; turnMs < forMs; turnMs += drawPauseMs()) {
    const instances = dataCentres[drawIndex(dataCentres.length)];
    const first = drawIndex(instances.length);
    const remainingCount = drawIndex(2);
    let atMs = turnMs;
    for (let step = 0; step < instances.length - remainingCount; step += 1) {
      const target = instances[(first + step) % instances.length];
      const kind = 'instance_terminate';
      stops.push({kind, atMs: Math.round(atMs), durationMs: 0, target});
      atMs += drawGapMs();
    }
  }
  return stops;
}
