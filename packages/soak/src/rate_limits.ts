/** Draws when endpoints announce rate limits. */

import {drawSequentialFaults} from './sequential_faults.js';
import {RATE_LIMIT, type PlannedFault} from './fault_plan.js';

/** Options of {@link drawRateLimits}. */
export interface RateLimitsOptions {
  readonly seed: number;
  /** Limits start within this time. */
  readonly forMs: number;
  readonly endpoints: number;
}

/**
 * Draws rate limits of one endpoint after another. Each lasts longer than
 * instances may take to apply it.
 *
 * @example
 * const faults = drawRateLimits({seed: 7, forMs: 20_000, endpoints: 10});
 */
export function drawRateLimits(options: RateLimitsOptions): PlannedFault[] {
  const {seed, forMs, endpoints} = options;
  return drawSequentialFaults({
    kind: RATE_LIMIT,
    seed,
    forMs,
    targetCount: endpoints,
    firstAtMs: 1000,
    durationRangeMs: [8000, 12_000],
    intervalRangeMs: [500, 4000],
  });
}
