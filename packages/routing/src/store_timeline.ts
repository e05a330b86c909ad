/** Dates what the store stated, in the time of an instance's own clock. */

import {MAX_CLOCK_DRIFT, type StoreClockReading} from './agreed_clock.js';

/**
 * An answer of the store reflects its tables as of the reading of its clock that
 * the answer states, however long the answer or a copy of it was on its way.
 *
 * A call is sent before the store reads its clock for the answer. So each answer
 * to an own call gives a bound: no reading of the store's clock was taken
 * earlier, in the time of the own clock, than the bound says.
 */
export class StoreTimeline {
  /** Latest bound of the difference between the clocks, as of time 0. */
  private boundMs = Number.NEGATIVE_INFINITY;
  /** Latest bound of the opposite difference, as of time 0. */
  private storeBoundMs = Number.NEGATIVE_INFINITY;
  /** Of the readings; another era of the store may have another clock. */
  private era = 0;

  /** Records the answer to an own call. */
  note({storeMs, era = 0, sentAtMs, receivedAtMs}: StoreClockReading): void {
    if (era !== this.era) this.forget(era);
    const boundMs = sentAtMs - storeMs + sentAtMs * MAX_CLOCK_DRIFT;
    const isContradicted = this.dateOf(storeMs, receivedAtMs) === undefined;
    this.boundMs = isContradicted ? boundMs : Math.max(this.boundMs, boundMs);
    const storeBoundMs =
      storeMs - receivedAtMs + receivedAtMs * MAX_CLOCK_DRIFT;
    const isSetBack = (this.storeClockAt(sentAtMs) ?? storeMs) > storeMs;
    this.storeBoundMs = isSetBack
      ? storeBoundMs
      : Math.max(this.storeBoundMs, storeBoundMs);
  }

  private forget(era: number): void {
    this.era = era;
    this.boundMs = Number.NEGATIVE_INFINITY;
    this.storeBoundMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * What the store's clock showed at a time by our clock, or less.
   *
   * @returns undefined before the store has answered.
   * @example
   * const storeMs = timeline.storeClockAt(nowMs);
   */
  storeClockAt(atMs: number): number | undefined {
    const storeMs = atMs + this.storeBoundMs - atMs * MAX_CLOCK_DRIFT;
    return Number.isFinite(storeMs) ? storeMs : undefined;
  }

  /**
   * A time by our clock before which the store's clock did not show `storeMs`:
   * what the store stated with that reading was true then or later.
   *
   * @returns undefined when no bound is known, or it is wrong since the store's
   *   clock has jumped.
   * @example
   * const asOfMs = timeline.dateOf(update.storeMs, nowMs);
   */
  dateOf(storeMs: number, nowMs: number): number | undefined {
    const atMs = storeMs + this.boundMs - nowMs * MAX_CLOCK_DRIFT;
    return Number.isFinite(atMs) && atMs <= nowMs ? atMs : undefined;
  }
}
