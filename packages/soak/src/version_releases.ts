/** Draws when engines are released with another software version. */

import {drawSequentialFaults} from './sequential_faults.js';
import {VERSION_RELEASE, type PlannedFault} from './fault_plan.js';

/** Options of {@link drawVersionReleases}. */
export interface VersionReleasesOptions {
  readonly seed: number;
  /** Releases start within this time. */
  readonly forMs: number;
}

/** Apart from the seeds of other draws. */
const SEED_OFFSET = 7_919;
const TARGET_COUNT = 2;

/**
 * Draws releases one after another. Their target is the half of the engines
 * that is replaced.
 *
 * @example
 * const faults = drawVersionReleases({seed: 7, forMs: 20_000});
 */
export function drawVersionReleases({
  seed,
  forMs,
}: VersionReleasesOptions): PlannedFault[] {
  return drawSequentialFaults({
    kind: VERSION_RELEASE,
    seed: seed + SEED_OFFSET,
    forMs,
    targetCount: TARGET_COUNT,
    firstAtMs: 1000,
    durationRangeMs: [1000, 3500],
    intervalRangeMs: [500, 6000],
  });
}
