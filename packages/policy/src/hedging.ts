/**
 * A second attempt against the silence of the first (Dean and Barroso, "The
 * Tail at Scale", 2013). An endpoint that hangs, or a connection that has gone
 * silent, is noticed only by the token that doesn't come; waiting for the time
 * limit would cost the caller its deadline. Whoever answers first wins, the
 * other is cancelled.
 */

import type {LatencyWindow} from './latency_window.js';
import type {TokenBucket, TokenBucketOptions} from './token_bucket.js';

/** What is known of a request whose attempt has gone out. */
export interface HedgeQuestion {
  readonly idempotent: boolean;
  /** It was in flight where an endpoint crashed. */
  readonly suspect: boolean;
  /** Until its deadline. */
  readonly remainingMs: number;
  /** First-token times of its model and class. */
  readonly firstTokens: LatencyWindow;
  readonly limits?: Partial<HedgeLimits>;
}

/** Limits with their defaults in {@link DEFAULT_HEDGE_LIMITS}. */
export interface HedgeLimits {
  /** Silence longer than this quantile is worth a second attempt. */
  readonly quantile: number;
  /** The threshold is this much above the quantile. */
  readonly factor: number;
  /** Fewer measurements tell no quantile. */
  readonly leastSamples: number;
  readonly leastDelayMs: number;
}

/** Half as long again as the slowest twentieth. */
export const DEFAULT_HEDGE_LIMITS: HedgeLimits = {
  quantile: 0.95,
  factor: 1.5,
  leastSamples: 20,
  leastDelayMs: 50,
};

/** When to look again, or why there will be no hedge. */
export type HedgePlan =
  | {readonly kind: 'wait'; readonly delayMs: number}
  | {
      readonly kind: 'never';
      readonly reason: 'not_repeatable' | 'suspect' | 'unmeasured' | 'deadline';
    };

/**
 * Plans the hedge of an attempt as it goes out.
 *
 * @example
 * const plan = planHedge({idempotent, suspect, remainingMs, firstTokens});
 * if (plan.kind === 'wait') startTimer(plan.delayMs);
 */
export function planHedge(question: HedgeQuestion): HedgePlan {
  const limits = {...DEFAULT_HEDGE_LIMITS, ...question.limits};
  const {firstTokens, remainingMs} = question;
  // A booking would run twice.
  if (!question.idempotent) return {kind: 'never', reason: 'not_repeatable'};
  // It might take a second endpoint down while the first is still dying.
  if (question.suspect) return {kind: 'never', reason: 'suspect'};
  const quantileMs = firstTokens.quantile(limits.quantile);
  if (quantileMs === undefined || firstTokens.count < limits.leastSamples) {
    return {kind: 'never', reason: 'unmeasured'};
  }
  const delayMs = Math.max(
    limits.leastDelayMs,
    Math.ceil(quantileMs * limits.factor),
  );
  // What usually takes the quantile can't come in time any more.
  if (delayMs + quantileMs > remainingMs) {
    return {kind: 'never', reason: 'deadline'};
  }
  return {kind: 'wait', delayMs};
}

/** What is known when the planned delay has passed. */
export interface HedgeMoment {
  readonly firstTokenSeen: boolean;
  /** Requests that wait in the cell the hedge would go to. */
  readonly waitingInCell: number;
  readonly budget: TokenBucket;
  readonly nowMs: number;
}

/** Whether the second attempt goes out, or why not. */
export type HedgeDecision =
  | {readonly kind: 'hedge'}
  | {
      readonly kind: 'stay';
      readonly reason: 'answered' | 'busy' | 'budget_spent';
    };

/** One request in twenty, since each may be wasted work. */
export const DEFAULT_HEDGE_BUDGET: TokenBucketOptions = {
  share: 0.05,
  floorPerSecond: 0.1,
  capacity: 5,
};

/**
 * Decides on the hedge when its delay has passed, and pays for it. While others
 * wait there is none: silence then comes from load, and a second attempt would
 * take an endpoint's place from a request that has none.
 *
 * @example
 * if (decideHedge(moment).kind === 'hedge') startSecondAttempt();
 */
export function decideHedge(moment: HedgeMoment): HedgeDecision {
  const {firstTokenSeen, waitingInCell, budget, nowMs} = moment;
  if (firstTokenSeen) return {kind: 'stay', reason: 'answered'};
  if (waitingInCell > 0) return {kind: 'stay', reason: 'busy'};
  if (!budget.spend(nowMs)) return {kind: 'stay', reason: 'budget_spent'};
  return {kind: 'hedge'};
}
