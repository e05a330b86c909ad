/** When endpoints name limits. */

import {drawInTurn} from './drawn_in_turn.js';
import {LIMIT, type PlannedFault} from './fault_plan.js';

/** What the limits are drawn from. */
export interface NamedLimitsOptions {
  readonly seed: number;
  /** Limits are named within this time. */
  readonly forMs: number;
  readonly endpoints: number;
}

/**
 * One endpoint after the other, each for longer than instances may take to act.
 *
 * @example
 * const faults = drawNamedLimits({seed: 7, forMs: 20_000, endpoints: 10});
 */
export function drawNamedLimits(options: NamedLimitsOptions): PlannedFault[] {
  const {seed, forMs, endpoints} = options;
  return drawInTurn({
    kind: LIMIT,
    seed,
    forMs,
    targets: endpoints,
    firstAtMs: 1000,
    lastsMs: [8000, 12_000],
    pauseMs: [500, 4000],
  });
}
