/** When endpoints announce rate limits. */

import {drawInTurn} from './drawn_in_turn.js';
import {RATE_LIMIT, type PlannedFault} from './fault_plan.js';

/** What the limits are drawn from. */
export interface RateLimitsOptions {
  readonly seed: number;
  /** Limits begin within this time. */
  readonly forMs: number;
  readonly endpoints: number;
}

/**
 * One endpoint after the other, each for longer than instances may take to act.
 *
 * @example
 * const faults = drawRateLimits({seed: 7, forMs: 20_000, endpoints: 10});
 */
export function drawRateLimits(options: RateLimitsOptions): PlannedFault[] {
  const {seed, forMs, endpoints} = options;
  return drawInTurn({
    kind: RATE_LIMIT,
    seed,
    forMs,
    targets: endpoints,
    firstAtMs: 1000,
    lastsMs: [8000, 12_000],
    pauseMs: [500, 4000],
  });
}
