/** Computes when a refused caller should retry. */

/** Options of {@link RefusalDelay}; defaults in brackets. */
export interface RefusalDelayOptions {
  /** Shortest delay (200 ms): instances know of store changes by then. */
  readonly minMs?: number;
  /** Longest delay (3,000 ms). */
  readonly maxMs?: number;
}

const DEFAULT_MIN_MS = 200;
const DEFAULT_MAX_MS = 3000;
/** Half-life of the counts of served and refused requests. */
const RATE_HALF_LIFE_MS = 2000;

/**
 * Derives the delay from the rate at which a service serves: with `n` refused
 * in the last seconds and `r` served a second, the last of them finds room
 * after `n / r`. Those refused first get the shortest delay, so that callers
 * retry in the order in which they came.
 */
export class RefusalDelay {
  private served = 0;
  private refused = 0;
  private atMs = 0;
  private readonly minMs: number;
  private readonly maxMs: number;

  constructor(options: RefusalDelayOptions = {}) {
    this.minMs = options.minMs ?? DEFAULT_MIN_MS;
    this.maxMs = options.maxMs ?? DEFAULT_MAX_MS;
  }

  noteServed(nowMs: number): void {
    this.decay(nowMs);
    this.served += 1;
  }

  /**
   * Counts one refusal and returns the delay before a retry.
   *
   * @example
   * const retryAfterMs = delay.adviseMs(nowMs);
   */
  adviseMs(nowMs: number): number {
    this.decay(nowMs);
    this.refused += 1;
    const servedPerMs = (this.served * Math.LN2) / RATE_HALF_LIFE_MS;
    const drainMs = servedPerMs > 0 ? this.refused / servedPerMs : this.maxMs;
    return Math.min(this.maxMs, Math.max(this.minMs, drainMs));
  }

  private decay(nowMs: number): void {
    const share = 0.5 ** ((nowMs - this.atMs) / RATE_HALF_LIFE_MS);
    this.served *= share;
    this.refused *= share;
    this.atMs = nowMs;
  }
}
