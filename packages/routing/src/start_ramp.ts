/** The share of an endpoint that has just started or recovered. */

/** Why an endpoint begins with a small share. */
export type RampCause = 'new' | 'restarted' | 'recovered';

/** How an answer or a reported load compares with those of the peers. */
export type RampSign = 'equal' | 'late';

/**
 * Of what its peers get. A long prompt costs an engine with an empty cache up to
 * 4.6 times the tokens, so that with a quarter of the requests it processes about
 * as much as its peers. With an eighth it got one request in three seconds in
 * the simulated burst.
 */
export const FIRST_SHARE = 1 / 4;
/** Answers must keep coming, or nothing would ever show that it can take more. */
const MIN_SHARE = 1 / 16;
/** By time alone the first share is doubled twice within 4 s. */
const DOUBLE_BY_TIME_MS = 2000;
/** Reported loads are 0.8 to 1.1 s old; sooner ones precede the last change. */
const MIN_DOUBLE_INTERVAL_MS = 700;
/**
 * Requests that were sent before a halving run on for about this long, and would
 * cause a second one.
 */
const MIN_HALVE_INTERVAL_MS = 1500;
/** An endpoint that stays slow is a matter of learned rates, not of its start. */
const MAX_DURATION_MS = 12_000;

/**
 * Starts at a small share, doubles it while answers come as those of its peers
 * do, and halves it when they don't. Without any sign it doubles by time alone.
 * All instances that know the same start and loads reach the same share.
 */
export class StartRamp {
  private currentShare = FIRST_SHARE;
  private changedAtMs: number;
  private halvedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    readonly cause: RampCause,
    readonly sinceMs: number,
  ) {
    this.changedAtMs = sinceMs;
  }

  /** Share of what its peers get, 0 to 1. */
  shareAt(nowMs: number): number {
    if (nowMs - this.sinceMs >= MAX_DURATION_MS) this.currentShare = 1;
    while (
      this.currentShare < 1 &&
      nowMs - this.changedAtMs >= DOUBLE_BY_TIME_MS
    ) {
      this.change(2, this.changedAtMs + DOUBLE_BY_TIME_MS);
    }
    return this.currentShare;
  }

  /**
   * Takes a sign of how the endpoint copes with its share.
   *
   * @param observedAtMs when what it shows began: the time of a load, or when
   * the answered request was sent.
   * @returns whether the share was halved.
   * @example
   * const isHalved = ramp.note('late', attempt.sentAtMs, nowMs);
   */
  note(sign: RampSign, observedAtMs: number, nowMs: number): boolean {
    const share = this.shareAt(nowMs);
    // A request that was sent before a change doesn't show the changed share.
    if (share >= 1 || observedAtMs < this.changedAtMs) return false;
    if (sign === 'late') return this.halve(nowMs);
    if (nowMs - this.changedAtMs >= MIN_DOUBLE_INTERVAL_MS)
      this.change(2, nowMs);
    return false;
  }

  private halve(nowMs: number): boolean {
    if (nowMs - this.halvedAtMs < MIN_HALVE_INTERVAL_MS) return false;
    const share = this.currentShare;
    this.halvedAtMs = nowMs;
    this.change(0.5, nowMs);
    return this.currentShare < share;
  }

  private change(factor: number, atMs: number): void {
    const share = this.currentShare * factor;
    this.currentShare = Math.min(1, Math.max(MIN_SHARE, share));
    this.changedAtMs = atMs;
  }
}
