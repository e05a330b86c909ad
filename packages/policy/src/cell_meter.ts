/** Rates and times measured in one cell, for expected waits and Retry-After. */

import type {CellRates} from './dispatch_queue.js';

const MS_PER_SECOND = 1000;
/** Weight of the newest sample in a moving mean. */
const SAMPLE_WEIGHT = 0.1;
/** Window of a rate of arrivals. */
const RATE_WINDOW_MS = 2000;
/** Mean deviations added to a mean, as for a retransmission timeout (RFC 6298). */
const SPREAD_MARGIN = 2;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;

interface RateCount {
  perSecond: number;
  updatedAtMs: number;
}

/**
 * Measures how long permits are held and how often requests of each tier come.
 * The drain rate follows from Little's law: permits over the mean time that one
 * is held. Counting completions instead would give, when a burst begins, the
 * rate of the quiet time before it, and refuse what could well be served.
 */
export class CellMeter implements CellRates {
  private heldMs: number | undefined;
  private meanFirstTokenMs: number | undefined;
  private firstTokenSpreadMs = 0;
  private permits = 0;
  private nowMs = 0;
  private readonly arrivals = new Map<number, RateCount>();

  get drainPerSecond(): number {
    if (this.heldMs === undefined || this.heldMs <= 0) return 0;
    return (this.permits / this.heldMs) * MS_PER_SECOND;
  }

  /**
   * How long it takes from a grant to the first token, with a margin for its
   * spread: granted later than that before its deadline, a request would run for
   * nothing.
   */
  get firstTokenMs(): number {
    if (this.meanFirstTokenMs === undefined) return 0;
    return this.meanFirstTokenMs + SPREAD_MARGIN * this.firstTokenSpreadMs;
  }

  /** Sets the time and the permits of the cell at that time. */
  update(nowMs: number, permits: number): void {
    this.nowMs = nowMs;
    this.permits = permits;
  }

  arrived(tier: number): void {
    const rate = this.arrivals.get(tier) ?? {
      perSecond: 0,
      updatedAtMs: this.nowMs,
    };
    rate.perSecond = this.decayed(rate) + MS_PER_SECOND / RATE_WINDOW_MS;
    rate.updatedAtMs = this.nowMs;
    this.arrivals.set(tier, rate);
  }

  released(heldMs: number): void {
    this.heldMs = blend(this.heldMs, heldMs);
  }

  /** First token after the grant, the way of the grant included. */
  firstTokenCame(afterMs: number): void {
    const error = Math.abs(afterMs - (this.meanFirstTokenMs ?? afterMs));
    this.meanFirstTokenMs = blend(this.meanFirstTokenMs, afterMs);
    this.firstTokenSpreadMs = blend(this.firstTokenSpreadMs, error);
  }

  arrivalsAbove(tier: number): number {
    let total = 0;
    for (const [above, rate] of this.arrivals) {
      if (above < tier) total += this.decayed(rate);
    }
    return total;
  }

  /**
   * When to come back, spread by `random` (0 to 1): callers refused together
   * would else come back together.
   */
  retryAfterMs(waitMs: number, random: number): number {
    const spread = waitMs * (1 + random / 4);
    const bounded = Math.min(spread, MAX_RETRY_AFTER_MS);
    return Math.ceil(Math.max(bounded, MIN_RETRY_AFTER_MS * (1 + random)));
  }

  private decayed(rate: RateCount): number {
    const ageMs = this.nowMs - rate.updatedAtMs;
    return rate.perSecond * Math.exp(-ageMs / RATE_WINDOW_MS);
  }
}

function blend(mean: number | undefined, sample: number): number {
  if (mean === undefined) return sample;
  return mean + (sample - mean) * SAMPLE_WEIGHT;
}
