/** When the instances of one data centre are stopped in turn. */

import {randomInt, randomLcg, randomUniform} from 'd3-random';
import type {PlannedFault} from './fault_plan.js';

/** What the turns are drawn from. */
export interface StopTurnsOptions {
  readonly seed: number;
  /** Turns begin within this time. */
  readonly forMs: number;
  /** Which instances are in one data centre, each by its place among all. */
  readonly dataCentres: ReadonlyArray<readonly number[]>;
  /** Mean time from the start of a turn to the next (15 s). */
  readonly everyMs?: number;
}

/** About as long as an instance takes to stop and be back, twice. */
const DEFAULT_EVERY_MS = 15_000;
/** By then callers have long streams under way. */
const FIRST_AT_MS = 3000;
/** Well within a grace time, so that those of a turn stop together. */
const SHORTEST_GAP_MS = 200;
const LONGEST_GAP_MS = 900;

/**
 * A turn stops all instances of a data centre or all but one, each while those
 * before it still finish their work. Only then does a balancer fall back on
 * instances that are out of rotation, or on another data centre.
 *
 * @example
 * const stops = drawStopTurns({seed: 7, forMs: 20_000, dataCentres: [[0, 2, 4]]});
 */
export function drawStopTurns(options: StopTurnsOptions): PlannedFault[] {
  const {seed, forMs, dataCentres, everyMs = DEFAULT_EVERY_MS} = options;
  const source = randomLcg(seed);
  const drawPauseMs = randomUniform.source(source)(everyMs / 2, everyMs * 1.5);
  const drawGapMs = randomUniform.source(source)(
    SHORTEST_GAP_MS,
    LONGEST_GAP_MS,
  );
  const drawIndex = (count: number) => randomInt.source(source)(count)();
  const stops: PlannedFault[] = [];
  for (let turnMs = FIRST_AT_MS; turnMs < forMs; turnMs += drawPauseMs()) {
    const instances = dataCentres[drawIndex(dataCentres.length)];
    const first = drawIndex(instances.length);
    const spared = drawIndex(2);
    let atMs = turnMs;
    for (let step = 0; step < instances.length - spared; step += 1) {
      const target = instances[(first + step) % instances.length];
      const kind = 'instance_terminate';
      stops.push({kind, atMs: Math.round(atMs), forMs: 0, target});
      atMs += drawGapMs();
    }
  }
  return stops;
}
