/** Estimates the number of instances until the first count is known. */

/** Options of {@link InstanceEstimate}; defaults in brackets. */
export interface InstanceEstimateOptions {
  readonly dataCentres: number;
  /** Number of instances from which relays save calls. */
  readonly minInstancesForRelays: number;
  /** How long a relay with many followers waits for more (2,500 ms). */
  readonly manyAfterMs?: number;
  /** How long a relay with few followers waits for more (6,000 ms). */
  readonly fewAfterMs?: number;
}

/** Followers of a relay. */
export interface FollowerStats {
  readonly followers: number;
  readonly servingForMs: number;
}

const DEFAULT_MANY_AFTER_MS = 2500;
const DEFAULT_FEW_AFTER_MS = 6000;

/**
 * Load pattern: hundreds of instances start within a second, and they are first
 * counted with the first usage window, ten seconds later. A relay knows its
 * followers after two seconds. Other data centres are assumed to be as large.
 */
export class InstanceEstimate {
  constructor(private readonly options: InstanceEstimateOptions) {}

  /**
   * @returns undefined while more followers may connect.
   * @example
   * const instances = estimate.read({followers: 38, servingForMs: 3000});
   */
  read({followers, servingForMs}: FollowerStats): number | undefined {
    const {dataCentres, minInstancesForRelays, manyAfterMs, fewAfterMs} =
      this.options;
    const instances = (followers + 1) * dataCentres;
    const waitMs =
      instances >= minInstancesForRelays
        ? (manyAfterMs ?? DEFAULT_MANY_AFTER_MS)
        : (fewAfterMs ?? DEFAULT_FEW_AFTER_MS);
    return servingForMs >= waitMs ? instances : undefined;
  }
}
