/** Draws when the balancer hands most new connections to one instance. */

import {ONE_INSTANCE, type PlannedFault} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';

/** Options of {@link drawConnectionsAtOne}. */
export interface ConnectionsAtOneOptions {
  readonly seed: number;
  /** Faults start within this time. */
  readonly forMs: number;
}

/** The generator draws similar numbers from neighbouring seeds. */
const SEED_DISTANCE = 13_579;
const TARGET_COUNT = 1000;

/**
 * Each lasts longer than the contact bound.
 *
 * @example
 * const faults = drawConnectionsAtOne({seed: 7, forMs: 20_000});
 */
export function drawConnectionsAtOne({
  seed,
  forMs,
}: ConnectionsAtOneOptions): PlannedFault[] {
  return drawSequentialFaults({
    kind: ONE_INSTANCE,
    seed: seed + SEED_DISTANCE,
    forMs,
    targetCount: TARGET_COUNT,
    firstAtMs: 5000,
    durationRangeMs: [4000, 8000],
    intervalRangeMs: [3000, 8000],
  });
}
