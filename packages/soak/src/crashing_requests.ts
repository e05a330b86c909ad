/** Draws when callers repeat requests that crash endpoints. */

import {
  CRASHING_PART,
  CRASHING_REQUEST,
  type PlannedFault,
} from './fault_plan.js';
import {drawSequentialFaults} from './sequential_faults.js';

/** Options of {@link drawCrashingRequests}. */
export interface CrashingRequestsOptions {
  readonly seed: number;
  /** Requests are sent for the first time within this time. */
  readonly forMs: number;
}

/** Such requests that may be repeated at the same time. */
const REQUESTS_AT_A_TIME = 2;
/** The generator draws similar numbers from neighbouring seeds. */
const SEED_DISTANCE = 54_321;
const PART_SEED_DISTANCE = 98_765;

/**
 * Draws requests that crash endpoints, each repeated for longer than it may
 * take until all instances have to refuse it.
 *
 * @example
 * const faults = drawCrashingRequests({seed: 7, forMs: 20_000});
 */
export function drawCrashingRequests(
  options: CrashingRequestsOptions,
): PlannedFault[] {
  const {seed, forMs} = options;
  return Array.from({length: REQUESTS_AT_A_TIME}, (_, sequence) =>
    drawSequentialFaults({
      kind: CRASHING_REQUEST,
      seed: seed + sequence * SEED_DISTANCE,
      forMs,
      targetCount: 1,
      firstAtMs: 1000,
      durationRangeMs: [8000, 14_000],
      intervalRangeMs: [500, 5000],
    }),
  ).flat();
}

/**
 * Draws when prompts come with a part that crashes engines, for longer than it
 * may take until all instances have to refuse it.
 *
 * @example
 * const faults = drawCrashingParts({seed: 7, forMs: 20_000});
 */
export function drawCrashingParts(
  options: CrashingRequestsOptions,
): PlannedFault[] {
  return drawSequentialFaults({
    kind: CRASHING_PART,
    seed: options.seed + PART_SEED_DISTANCE,
    forMs: options.forMs,
    targetCount: 1,
    firstAtMs: 1500,
    durationRangeMs: [10_000, 14_000],
    intervalRangeMs: [2000, 5000],
  });
}
