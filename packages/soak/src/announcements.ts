/** Draws when endpoints announce something in their answers. */

import {drawSequentialFaults} from './sequential_faults.js';
import {BACKOFF, UNLISTED_LEAVING, type PlannedFault} from './fault_plan.js';

/** Options of {@link drawUnlistedLeavings} and {@link drawBackoffs}. */
export interface AnnouncementsOptions {
  readonly seed: number;
  /** Announcements start within this time. */
  readonly forMs: number;
  readonly endpoints: number;
}

/**
 * Draws endpoints that leave one after another. Each says so in its answers
 * for longer than the drain bound before its entry does.
 *
 * @example
 * const faults = drawUnlistedLeavings({seed: 7, forMs: 20_000, endpoints: 10});
 */
export function drawUnlistedLeavings(
  options: AnnouncementsOptions,
): PlannedFault[] {
  const {seed, forMs, endpoints} = options;
  return drawSequentialFaults({
    kind: UNLISTED_LEAVING,
    seed,
    forMs,
    targetCount: endpoints,
    firstAtMs: 1500,
    durationRangeMs: [4000, 8000],
    intervalRangeMs: [500, 3000],
  });
}

/** Endpoints that may be in backoff at the same time. */
const BACKOFFS_AT_A_TIME = 3;
/** The generator draws similar numbers from neighbouring seeds. */
const SEED_DISTANCE = 12_345;

/**
 * Draws endpoints that request backoff, a few at the same time, so that now and
 * then all endpoints of a service do.
 *
 * @example
 * const faults = drawBackoffs({seed: 7, forMs: 20_000, endpoints: 10});
 */
export function drawBackoffs(options: AnnouncementsOptions): PlannedFault[] {
  const {seed, forMs, endpoints} = options;
  return Array.from({length: BACKOFFS_AT_A_TIME}, (_, sequence) =>
    drawSequentialFaults({
      kind: BACKOFF,
      seed: seed + sequence * SEED_DISTANCE,
      forMs,
      targetCount: endpoints,
      firstAtMs: 1000,
      durationRangeMs: [1500, 5000],
      intervalRangeMs: [300, 4000],
    }),
  ).flat();
}
