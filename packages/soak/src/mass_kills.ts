/** Draws when many instances are killed at the same moment. */

import {MASS_KILL, type PlannedFault} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';

/** Options of {@link drawMassKills}. */
export interface MassKillsOptions {
  readonly seed: number;
  /** Kills come within this time. */
  readonly forMs: number;
}

/** Apart from the seeds of other draws. */
const SEED_OFFSET = 24_683;
const TARGET_COUNT = 1000;
const KILLED_SHARE = 0.35;

/**
 * Draws kills of a third of the instances. Their target is where the killed ones
 * begin in the order of all.
 *
 * @example
 * const faults = drawMassKills({seed: 7, forMs: 20_000});
 */
export function drawMassKills({seed, forMs}: MassKillsOptions): PlannedFault[] {
  return drawSequentialFaults({
    kind: MASS_KILL,
    seed: seed + SEED_OFFSET,
    forMs,
    targetCount: TARGET_COUNT,
    firstAtMs: 7000,
    durationRangeMs: [50, 50],
    intervalRangeMs: [5000, 10_000],
  });
}

/**
 * Which of the instances are killed, spread over the data centres.
 *
 * @example
 * const indexes = chooseKilled(instances.length, fault.target);
 */
export function chooseKilled(instances: number, target: number): number[] {
  const count = Math.round(instances * KILLED_SHARE);
  return Array.from(
    {length: count},
    (_, index) => (target + index) % instances,
  );
}
