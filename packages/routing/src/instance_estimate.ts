/** How many instances there are, before their usage has been counted. */

/** What an {@link InstanceEstimate} is made from; defaults in the brackets. */
export interface InstanceEstimateOptions {
  readonly dataCentres: number;
  /** From so many instances on, relays pay. */
  readonly relaysPayFrom: number;
  /** How long a relay waits for many followers (2,500 ms). */
  readonly manyAfterMs?: number;
  /** How long it waits before it says that there are few (6,000 ms). */
  readonly fewAfterMs?: number;
}

/** What one relay sees of the instances of its data centre. */
export interface FollowerStats {
  readonly followers: number;
  readonly servingForMs: number;
}

const DEFAULT_MANY_AFTER_MS = 2500;
const DEFAULT_FEW_AFTER_MS = 6000;

/**
 * Load pattern: hundreds of instances start within a second, and each of them
 * polls the store by itself until the first usage window has been counted, ten
 * seconds later. A relay knows its followers seconds after the start; the other
 * data centres are taken to be as large as its own.
 */
export class InstanceEstimate {
  constructor(private readonly options: InstanceEstimateOptions) {}

  /**
   * @returns undefined while followers may still come.
   * @example
   * const instances = estimate.read({followers: 38, servingForMs: 3000});
   */
  read({followers, servingForMs}: FollowerStats): number | undefined {
    const {dataCentres, relaysPayFrom, manyAfterMs, fewAfterMs} = this.options;
    const instances = (followers + 1) * dataCentres;
    const waitMs =
      instances >= relaysPayFrom
        ? (manyAfterMs ?? DEFAULT_MANY_AFTER_MS)
        : (fewAfterMs ?? DEFAULT_FEW_AFTER_MS);
    return servingForMs >= waitMs ? instances : undefined;
  }
}
