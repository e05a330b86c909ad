/** When a caller that was refused should come back. */

/** What a {@link RefusalDelay} is made from; defaults in the brackets. */
export interface RefusalDelayOptions {
  /** Shortest advice (200 ms): a store's change is everywhere by then. */
  readonly minMs?: number;
  /** Longest advice (3,000 ms). */
  readonly maxMs?: number;
}

const DEFAULT_MIN_MS = 200;
const DEFAULT_MAX_MS = 3000;
/** How long successes count for the rate at which a service serves. */
const RATE_HALF_LIFE_MS = 2000;

/**
 * Advises by how fast a service serves: with `n` refused in the last seconds
 * and `r` served a second, the last of them finds room after `n / r`. Those
 * refused first get the shortest time, so that they return in the order
 * in which they came.
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
    this.fade(nowMs);
    this.served += 1;
  }

  /**
   * Counts one refusal and gives the time after which to come back.
   *
   * @example
   * const retryAfterMs = delay.adviseMs(nowMs);
   */
  adviseMs(nowMs: number): number {
    this.fade(nowMs);
    this.refused += 1;
    const servedPerMs = (this.served * Math.LN2) / RATE_HALF_LIFE_MS;
    const drainMs = servedPerMs > 0 ? this.refused / servedPerMs : this.maxMs;
    return Math.min(this.maxMs, Math.max(this.minMs, drainMs));
  }

  private fade(nowMs: number): void {
    const share = 0.5 ** ((nowMs - this.atMs) / RATE_HALF_LIFE_MS);
    this.served *= share;
    this.refused *= share;
    this.atMs = nowMs;
  }
}
