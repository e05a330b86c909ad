/** Rates and times measured in one cell, for expected waits and Retry-After. */

import type {CellRates} from './dispatch_queue.js';

const MS_PER_SECOND = 1000;
/** Weight of the newest sample in a moving mean. */
const SAMPLE_WEIGHT = 0.1;
/** Time constant with which the arrival rate decays. */
const ARRIVAL_RATE_WINDOW_MS = 2000;
/**
 * Mean deviations added to a mean, as for a retransmission timeout (RFC 6298).
 */
const SPREAD_MARGIN_DEVIATIONS = 2;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;

interface RateCount {
  perSecond: number;
  updatedAtMs: number;
}

/**
 * Measures how long permits are held and at which rate requests of each tier
 * arrive. The drain rate follows from Little's law: permits divided by the mean
 * time that one is held. Counting completions instead would, at the start of a
 * burst, give the rate of the quiet time before it, and requests that could be
 * served would be refused.
 */
export class CellMeter implements CellRates {
  private meanHeldMs: number | undefined;
  private meanFirstTokenMs: number | undefined;
  private firstTokenSpreadMs = 0;
  private permits = 0;
  private nowMs = 0;
  private readonly arrivals = new Map<number, RateCount>();

  get drainPerSecond(): number {
    if (this.meanHeldMs === undefined || this.meanHeldMs <= 0) return 0;
    return (this.permits / this.meanHeldMs) * MS_PER_SECOND;
  }

  /**
   * Time from a grant to the first token, with a margin for its spread; 0 if
   * unknown. A request that is granted less than this before its deadline would
   * run in vain.
   */
  get firstTokenMs(): number {
    if (this.meanFirstTokenMs === undefined) return 0;
    return (
      this.meanFirstTokenMs + SPREAD_MARGIN_DEVIATIONS * this.firstTokenSpreadMs
    );
  }

  /** Sets the current time and the number of permits of the cell. */
  update(nowMs: number, permits: number): void {
    this.nowMs = nowMs;
    this.permits = permits;
  }

  arrived(tier: number): void {
    const rate = this.arrivals.get(tier) ?? {
      perSecond: 0,
      updatedAtMs: this.nowMs,
    };
    rate.perSecond =
      this.decayed(rate) + MS_PER_SECOND / ARRIVAL_RATE_WINDOW_MS;
    rate.updatedAtMs = this.nowMs;
    this.arrivals.set(tier, rate);
  }

  released(heldMs: number): void {
    this.meanHeldMs = blend(this.meanHeldMs, heldMs);
  }

  /** Records a time to the first token, including the transit of the grant. */
  firstTokenObserved(afterMs: number): void {
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
   * Time after which to retry, spread by `random` (0 to 1), since callers that
   * were refused together would otherwise retry together.
   */
  retryAfterMs(waitMs: number, random: number): number {
    const spread = waitMs * (1 + random / 4);
    const bounded = Math.min(spread, MAX_RETRY_AFTER_MS);
    return Math.ceil(Math.max(bounded, MIN_RETRY_AFTER_MS * (1 + random)));
  }

  private decayed(rate: RateCount): number {
    const ageMs = this.nowMs - rate.updatedAtMs;
    return rate.perSecond * Math.exp(-ageMs / ARRIVAL_RATE_WINDOW_MS);
  }
}

function blend(mean: number | undefined, sample: number): number {
  if (mean === undefined) return sample;
  return mean + (sample - mean) * SAMPLE_WEIGHT;
}
