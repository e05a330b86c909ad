/** Draws when endpoints announce something in their answers. */

import {drawSequentialFaults} from './sequential_faults.js';
import {UNLISTED_LEAVING, type PlannedFault} from './fault_plan.js';

/** Options of {@link drawUnlistedLeavings}. */
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
