/**
 * A concurrency limit that follows the time between tokens, compared with the
 * tightest target among the classes that the endpoint serves.
 *
 * An engine's step time grows roughly linearly with its batch. The batch that
 * just meets the target is therefore estimated as the current batch, times the
 * target over the measured time. The estimate converges from either side with
 * each review and does not overshoot. Rejected alternatives: additive increase
 * with multiplicative decrease, which oscillates around the target and keeps
 * falling while running requests drain; and the gradient against the lowest
 * latency seen, which has no target and takes any batching for congestion.
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

/** Share of the target that is aimed at; the rest is margin for the tail. */
const AIMED_TARGET_SHARE = 0.9;
const MIN_LIMIT = 1;
/** Share of the distance to the estimate that a limit rises in one review. */
const RISE_SHARE = 0.5;
/** Share of the limit that is kept, at least, when a review lowers it. */
const MIN_KEPT_SHARE = 0.8;
/** Lower bound of a limit at takeover, as a share of the maximum. */
const MIN_TAKEOVER_SHARE = 0.25;
/** How long a class's target counts after its last measurement. */
const TARGET_VALID_MS = 10_000;
/**
 * An endpoint that misses its target is slow if its time between tokens is
 * above the typical one times this.
 */
const SLOW_RATIO = 1.5;
/** Consecutive reviews after which an endpoint counts as slower than others. */
const SLOWER_REVIEW_COUNT = 3;
const STALLED_AFTER_MS = 3000;
const MIN_SLOW_PROBE_INTERVAL_MS = 1000;
const MAX_SLOW_PROBE_INTERVAL_MS = 8000;

/**
 * Adapts the limit, and withholds work from an endpoint that has failed, stalls
 * or is slower than the others.
 *
 * @example
 * const limit = new AdaptiveLimit({maxConcurrency: 32});
 * limit.permits(nowMs); // 32 until latency has been measured
 */
export class AdaptiveLimit extends LimitPolicy {
  private readonly health = new EndpointHealth();
  /** When each target for the time between tokens was last reported. */
  private readonly targetSeenAtMs = new Map<number, number>();
  private limit: number;
  private peakInFlight = 0;
  /** Times between tokens of running attempts, and of ended ones. */
  private runningSamples: number[] = [];
  private endedSamples: number[] = [];
  private firstTokenRatios: number[] = [];
  private betweenTokensMs: number | undefined;
  private lastTokenAtMs: number | undefined;
  private stalled = false;
  private slowerReviews = 0;
  private slowProbeIntervalMs = 0;
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
    this.peakInFlight = Math.max(this.peakInFlight, inFlight);
    if (inFlight === 1) this.lastTokenAtMs = nowMs;
    if (this.isSlow) this.slowProbeAtMs = nowMs + this.slowProbeIntervalMs;
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
    this.recordTargets(sample.targets, nowMs);
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
    if (targets !== undefined) this.recordTargets(targets, nowMs);
  }

  /**
   * The number in flight is close to the former owner's limit. Starting at the
   * maximum would admit a whole batch too many, and all streams would miss
   * their target for the next few reviews.
   */
  takeOver(inFlight: number): void {
    const least = this.maxConcurrency * MIN_TAKEOVER_SHARE;
    this.limit = Math.min(this.limit, Math.max(inFlight, least, MIN_LIMIT));
  }

  review(review: LimitReview, nowMs: number): void {
    this.detectStall(review, nowMs);
    const ratio = this.takeLatencyRatio(nowMs);
    if (ratio !== undefined && review.inFlight > 0) {
      this.slowerReviews = this.isSlowerThanOthers(review, ratio)
        ? this.slowerReviews + 1
        : 0;
      const slower = this.slowerReviews >= SLOWER_REVIEW_COUNT;
      this.adapt(review.inFlight, ratio, slower);
      this.probeSlow(slower, nowMs);
    }
    this.peakInFlight = review.inFlight;
  }

  snapshot(nowMs: number): LimitSnapshot {
    return {
      permits: this.permits(nowMs),
      health: this.condition(nowMs),
      betweenTokensMs: this.betweenTokensMs,
    };
  }

  private get isSlow(): boolean {
    return this.slowProbeIntervalMs > 0;
  }

  private condition(nowMs: number): EndpointCondition {
    if (this.health.failed) {
      return this.health.probeAtMs(nowMs) > nowMs ? 'failed' : 'probing';
    }
    if (this.stalled) return 'stalled';
    return this.isSlow ? 'slow' : 'healthy';
  }

  /**
   * Ratio of the latency measured since the last review to its target; above 1
   * is too slow. Where tokens are streamed, a first token in time does not show
   * that more requests fit: it comes early however slowly the others follow.
   * Taken alone, first tokens raised limits to the maximum between two progress
   * reports.
   */
  private takeLatencyRatio(nowMs: number): number | undefined {
    const between = this.takeBetweenTokensMs();
    const firstToken = mean(this.firstTokenRatios);
    this.firstTokenRatios = [];
    const targetMs = this.tightestTargetMs(nowMs);
    if (between !== undefined && targetMs !== undefined) {
      return Math.max(
        between / (targetMs * AIMED_TARGET_SHARE),
        firstToken ?? 0,
      );
    }
    const streams = this.betweenTokensMs !== undefined;
    const tooSlow = firstToken !== undefined && firstToken > 1;
    return !streams || tooSlow ? firstToken : undefined;
  }

  /** Prefers running attempts: ended ones average over their whole duration. */
  private takeBetweenTokensMs(): number | undefined {
    const between = mean(this.runningSamples) ?? mean(this.endedSamples);
    this.runningSamples = [];
    this.endedSamples = [];
    if (between !== undefined) this.betweenTokensMs = between;
    return between;
  }

  /**
   * Lowers the limit when too slow; raises it only if it was used up, since an
   * idle engine's speed proves nothing.
   */
  private adapt(inFlight: number, ratio: number, slower: boolean): void {
    const estimate = inFlight / ratio;
    if (ratio > 1) {
      // With few requests running, one long prompt makes a review look too
      // slow, so one review lowers the limit only a little. An engine that is
      // slower than the others falls to its estimate at once.
      const least = slower ? MIN_LIMIT : this.limit * MIN_KEPT_SHARE;
      const lowered = Math.max(least, estimate, MIN_LIMIT);
      this.limit = Math.min(this.limit, lowered);
      return;
    }
    const binding = this.peakInFlight >= Math.floor(this.limit);
    if (!binding || estimate <= this.limit) return;
    const rise = Math.max(1, (estimate - this.limit) * RISE_SHARE);
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
   * An endpoint that is too slow even at the smallest limit, while others are
   * not, gets one request at a time at growing intervals until it is as fast as
   * the others: more requests would miss their target there for nothing.
   */
  private probeSlow(slower: boolean, nowMs: number): void {
    if (!slower) {
      this.slowProbeIntervalMs = 0;
      return;
    }
    if (this.limit > MIN_LIMIT || nowMs < this.slowProbeAtMs) return;
    const doubled = Math.max(
      MIN_SLOW_PROBE_INTERVAL_MS,
      this.slowProbeIntervalMs * 2,
    );
    this.slowProbeIntervalMs = Math.min(MAX_SLOW_PROBE_INTERVAL_MS, doubled);
    this.slowProbeAtMs = nowMs + this.slowProbeIntervalMs;
  }

  /** Applies only once tokens were measured: plain services stream none. */
  private detectStall({inFlight}: LimitReview, nowMs: number): void {
    const measured = this.betweenTokensMs !== undefined;
    if (!measured || inFlight === 0 || this.lastTokenAtMs === undefined) return;
    this.stalled = nowMs - this.lastTokenAtMs > STALLED_AFTER_MS;
  }

  private recordTargets(targets: LatencyTargets, nowMs: number): void {
    this.targetSeenAtMs.set(targets.betweenTokensTargetMs, nowMs);
  }

  private tightestTargetMs(nowMs: number): number | undefined {
    let tightest: number | undefined;
    for (const [targetMs, atMs] of this.targetSeenAtMs) {
      if (nowMs - atMs > TARGET_VALID_MS) this.targetSeenAtMs.delete(targetMs);
      else tightest = Math.min(tightest ?? Infinity, targetMs);
    }
    return tightest;
  }
}

function mean(numbers: readonly number[]): number | undefined {
  if (numbers.length === 0) return undefined;
  return numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
}
