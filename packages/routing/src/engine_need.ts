/** Estimates the number of engines that the current demand needs. */

/** Options of {@link EngineNeed}; defaults in brackets. */
export interface EngineNeedOptions {
  /** Half-life of a peak (5,000 ms). */
  readonly halfLifeMs?: number;
}

const DEFAULT_HALF_LIFE_MS = 5000;
/**
 * Utilization of an engine's batch above which its streams stutter, since
 * prompts are processed between their tokens.
 */
const MAX_SMOOTH_UTILIZATION_SHARE = 0.25;

/**
 * Derives the number of engines from the requests that are at them. A peak
 * decays slowly: endpoints that were released in the first second of lower load
 * would be missing in the next wave of the same burst, and take seconds to
 * boot.
 */
export class EngineNeed {
  private engines = 0;
  private atMs = 0;
  private readonly halfLifeMs: number;

  constructor(options: EngineNeedOptions = {}) {
    this.halfLifeMs = options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
  }

  /**
   * Updates the estimate with the requests that run or wait at all engines.
   *
   * @param batchSize requests that one engine works on at once.
   * @returns the number of engines, rounded up.
   * @example
   * const needed = need.update({requests, batchSize: 32}, nowMs);
   */
  update(
    load: {readonly requests: number; readonly batchSize: number},
    nowMs: number,
  ): number {
    const now = load.requests / (load.batchSize * MAX_SMOOTH_UTILIZATION_SHARE);
    const decayed =
      0.5 ** ((nowMs - this.atMs) / this.halfLifeMs) * this.engines;
    this.engines = Math.max(now, decayed);
    this.atMs = nowMs;
    return Math.ceil(this.engines);
  }
}
