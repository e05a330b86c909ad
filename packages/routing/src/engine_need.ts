/** How many engines the demand of the moment needs. */

/** What an {@link EngineNeed} is made from; defaults in the brackets. */
export interface EngineNeedOptions {
  /** Half-life of a peak (5,000 ms). */
  readonly halfLifeMs?: number;
}

const DEFAULT_HALF_LIFE_MS = 5000;
/**
 * Share of an engine's places above which its streams stutter, since prompts are
 * read between their tokens.
 */
const COMFORTABLE_SHARE = 0.25;

/**
 * Counts engines by the requests that are at them. A peak fades: endpoints that
 * were given back with the first calm second would be missing in the next wave
 * of the same burst, and take seconds to boot.
 */
export class EngineNeed {
  private engines = 0;
  private atMs = 0;
  private readonly halfLifeMs: number;

  constructor(options: EngineNeedOptions = {}) {
    this.halfLifeMs = options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
  }

  /**
   * Takes in how many requests run or wait at all engines together.
   *
   * @param batchSize requests that one engine works on at once.
   * @returns engines, rounded up.
   * @example
   * const needed = need.update({requests, batchSize: 32}, nowMs);
   */
  update(
    load: {readonly requests: number; readonly batchSize: number},
    nowMs: number,
  ): number {
    const now = load.requests / (load.batchSize * COMFORTABLE_SHARE);
    const faded = 0.5 ** ((nowMs - this.atMs) / this.halfLifeMs) * this.engines;
    this.engines = Math.max(now, faded);
    this.atMs = nowMs;
    return Math.ceil(this.engines);
  }
}
