/**
 * A limit that follows the time between tokens, measured against the tightest
 * target served at the endpoint.
 *
 * The time of an engine's step grows about in line with its batch. So the batch
 * that just meets the target is estimated as the batch that runs now, times
 * target over measurement; from either side this comes nearer with each review
 * and does not overshoot. Weighed: additive increase with multiplicative
 * decrease, which saws around the target and goes on falling while what runs
 * drains; and the gradient against the lowest latency seen, which has no target
 * and takes any batching at all for congestion.
 */

import {EndpointHealth} from './endpoint_health.js';
import {
  LimitPolicy,
  type EndpointCondition,
  type LatencyTargets,
  type LimitPolicyOptions,
  type LimitReview,
  type LimitSample,
  type LimitSnapshot,
} from './limit_policy.js';

/** Aims this much below the target, for its tail. */
const TARGET_MARGIN = 0.9;
const MIN_LIMIT = 1;
/** Part of the way to the estimate that a rising limit goes in one review. */
const RISE_PART = 0.5;
/** What is left of a limit after a review, at least. */
const MAX_FALL = 0.8;
/** Where little runs, a limit is taken over at this part of the utmost. */
const LEAST_TAKEN_OVER_PART = 0.25;
/** How long a class counts as served after its last measurement. */
const TARGET_MEMORY_MS = 10_000;
/** Slower than the others by this much is slow, if it misses its target too. */
const SLOW_RATIO = 1.5;
/** Reviews in a row after which an endpoint is taken as slower than others. */
const SLOWER_REVIEWS = 3;
const STALLED_AFTER_MS = 3000;
const FIRST_SLOW_PROBE_MS = 1000;
const MAX_SLOW_PROBE_MS = 8000;

/**
 * Adapts the limit, and keeps work from an endpoint that has failed, stalls or
 * is slower than the others.
 *
 * @example
 * const limit = new AdaptiveLimit({maxConcurrency: 32});
 * limit.permits(nowMs); // 32 until it has been measured
 */
export class AdaptiveLimit extends LimitPolicy {
  private readonly health = new EndpointHealth();
  /** When each time between tokens was last aimed at. */
  private readonly targetSeenAtMs = new Map<number, number>();
  private limit: number;
  private mostInFlight = 0;
  /** Times between tokens of what runs, and of what has ended. */
  private runningSamples: number[] = [];
  private endedSamples: number[] = [];
  private firstTokenRatios: number[] = [];
  private betweenTokensMs: number | undefined;
  private lastTokenAtMs: number | undefined;
  private stalled = false;
  private slowerReviews = 0;
  private slowProbeEveryMs = 0;
  private slowProbeAtMs = 0;

  constructor(options: LimitPolicyOptions) {
    super(options);
    this.limit = options.maxConcurrency;
  }

  permits(nowMs: number): number {
    if (this.maxConcurrency === 0 || this.stalled) return 0;
    if (this.usableAtMs(nowMs) > nowMs) return 0;
    if (this.isProbing()) return 1;
    const whole = Math.max(MIN_LIMIT, Math.floor(this.limit));
    return Math.min(whole, this.maxConcurrency);
  }

  usableAtMs(nowMs: number): number {
    if (this.maxConcurrency === 0) return Infinity;
    const probeAtMs = this.health.probeAtMs(nowMs);
    return this.isSlow ? Math.max(probeAtMs, this.slowProbeAtMs) : probeAtMs;
  }

  isProbing(): boolean {
    return this.health.failed || this.isSlow;
  }

  started(inFlight: number, nowMs: number): void {
    this.mostInFlight = Math.max(this.mostInFlight, inFlight);
    if (inFlight === 1) this.lastTokenAtMs = nowMs;
    if (this.isSlow) this.slowProbeAtMs = nowMs + this.slowProbeEveryMs;
  }

  finished(sample: LimitSample, nowMs: number): void {
    this.lastTokenAtMs = nowMs;
    this.stalled = false;
    const recovered = this.health.finished(sample.outcome, nowMs);
    if (recovered) this.limit = Math.max(MIN_LIMIT, this.limit / 2);
    if (sample.betweenTokensMs !== undefined) {
      this.endedSamples.push(sample.betweenTokensMs);
    }
    if (sample.targets === undefined) return;
    this.remember(sample.targets, nowMs);
    if (sample.firstTokenMs !== undefined) {
      const {firstTokenTargetMs} = sample.targets;
      this.firstTokenRatios.push(sample.firstTokenMs / firstTokenTargetMs);
    }
  }

  progressed(
    betweenTokensMs: number,
    targets: LatencyTargets | undefined,
    nowMs: number,
  ): void {
    this.lastTokenAtMs = nowMs;
    this.stalled = false;
    this.runningSamples.push(betweenTokensMs);
    if (targets !== undefined) this.remember(targets, nowMs);
  }

  /**
   * What runs is about what the former owner held right. Begun at the utmost, the
   * limit would let in a whole batch too many, and all streams would miss their
   * target until the next few reviews.
   */
  takeOver(inFlight: number): void {
    const least = this.maxConcurrency * LEAST_TAKEN_OVER_PART;
    this.limit = Math.min(this.limit, Math.max(inFlight, least, MIN_LIMIT));
  }

  review(review: LimitReview, nowMs: number): void {
    this.noticeStall(review, nowMs);
    const ratio = this.takeRatio(nowMs);
    if (ratio !== undefined && review.inFlight > 0) {
      this.slowerReviews = this.isSlowerThanOthers(review, ratio)
        ? this.slowerReviews + 1
        : 0;
      const slower = this.slowerReviews >= SLOWER_REVIEWS;
      this.adapt(review.inFlight, ratio, slower);
      this.probeSlow(slower, nowMs);
    }
    this.mostInFlight = review.inFlight;
  }

  snapshot(nowMs: number): LimitSnapshot {
    return {
      permits: this.permits(nowMs),
      health: this.condition(nowMs),
      betweenTokensMs: this.betweenTokensMs,
    };
  }

  private get isSlow(): boolean {
    return this.slowProbeEveryMs > 0;
  }

  private condition(nowMs: number): EndpointCondition {
    if (this.health.failed) {
      return this.health.probeAtMs(nowMs) > nowMs ? 'failed' : 'probing';
    }
    if (this.stalled) return 'stalled';
    return this.isSlow ? 'slow' : 'healthy';
  }

  /**
   * Measured over target since the last review; above 1 it is too slow. Where
   * tokens are streamed, a first token in time does not show that more fit: it
   * comes early however slowly the others follow. Taken alone it raised limits
   * to the utmost between two reports of progress.
   */
  private takeRatio(nowMs: number): number | undefined {
    const between = this.takeBetweenTokensMs();
    const firstToken = mean(this.firstTokenRatios);
    this.firstTokenRatios = [];
    const targetMs = this.tightestTargetMs(nowMs);
    if (between !== undefined && targetMs !== undefined) {
      return Math.max(between / (targetMs * TARGET_MARGIN), firstToken ?? 0);
    }
    const streams = this.betweenTokensMs !== undefined;
    const tooSlow = firstToken !== undefined && firstToken > 1;
    return !streams || tooSlow ? firstToken : undefined;
  }

  /** What runs tells of now; what has ended, of its whole time. */
  private takeBetweenTokensMs(): number | undefined {
    const between = mean(this.runningSamples) ?? mean(this.endedSamples);
    this.runningSamples = [];
    this.endedSamples = [];
    if (between !== undefined) this.betweenTokensMs = between;
    return between;
  }

  /** Rises only when it was used up: an idle engine's speed proves nothing. */
  private adapt(inFlight: number, ratio: number, slower: boolean): void {
    const estimate = inFlight / ratio;
    if (ratio > 1) {
      // With little running, one long prompt makes a review look too slow. An
      // engine that is slower than the others is another matter.
      const least = slower ? MIN_LIMIT : this.limit * MAX_FALL;
      const lowered = Math.max(least, estimate, MIN_LIMIT);
      this.limit = Math.min(this.limit, lowered);
      return;
    }
    const binding = this.mostInFlight >= Math.floor(this.limit);
    if (!binding || estimate <= this.limit) return;
    const rise = Math.max(1, (estimate - this.limit) * RISE_PART);
    this.limit = Math.min(this.maxConcurrency, this.limit + rise);
  }

  private isSlowerThanOthers(
    {typicalBetweenTokensMs}: LimitReview,
    ratio: number,
  ): boolean {
    const own = this.betweenTokensMs;
    if (own === undefined || typicalBetweenTokensMs === undefined) return false;
    return ratio > 1 && own > typicalBetweenTokensMs * SLOW_RATIO;
  }

  /**
   * At the smallest limit and still too slow, while others are not: requests
   * would miss their target there for nothing, so it gets one at a time, with
   * growing pauses, until one is served as fast as elsewhere.
   */
  private probeSlow(slower: boolean, nowMs: number): void {
    if (!slower) {
      this.slowProbeEveryMs = 0;
      return;
    }
    if (this.limit > MIN_LIMIT || nowMs < this.slowProbeAtMs) return;
    const doubled = Math.max(FIRST_SLOW_PROBE_MS, this.slowProbeEveryMs * 2);
    this.slowProbeEveryMs = Math.min(MAX_SLOW_PROBE_MS, doubled);
    this.slowProbeAtMs = nowMs + this.slowProbeEveryMs;
  }

  /** Only where tokens have been seen: plain services stream none. */
  private noticeStall({inFlight}: LimitReview, nowMs: number): void {
    const measured = this.betweenTokensMs !== undefined;
    if (!measured || inFlight === 0 || this.lastTokenAtMs === undefined) return;
    this.stalled = nowMs - this.lastTokenAtMs > STALLED_AFTER_MS;
  }

  private remember(targets: LatencyTargets, nowMs: number): void {
    this.targetSeenAtMs.set(targets.betweenTokensTargetMs, nowMs);
  }

  private tightestTargetMs(nowMs: number): number | undefined {
    let tightest: number | undefined;
    for (const [targetMs, atMs] of this.targetSeenAtMs) {
      if (nowMs - atMs > TARGET_MEMORY_MS) this.targetSeenAtMs.delete(targetMs);
      else tightest = Math.min(tightest ?? Infinity, targetMs);
    }
    return tightest;
  }
}

function mean(numbers: readonly number[]): number | undefined {
  if (numbers.length === 0) return undefined;
  return numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
}
