/**
 * Hedging: a second attempt when the first stays silent (Dean and Barroso, "The
 * Tail at Scale", 2013). An endpoint that hangs, or a connection that has gone
 * silent, shows only by the missing token; waiting for the timeout would cost
 * the caller its deadline. The first attempt to answer wins, the other is
 * cancelled.
 */

import type {LatencyWindow} from './latency_window.js';
import type {TokenBucket, TokenBucketOptions} from './token_bucket.js';

/** Input of {@link planHedge}: a request whose attempt is being sent. */
export interface HedgePlanInput {
  readonly idempotent: boolean;
  /** It was in flight at an endpoint that crashed. */
  readonly suspect: boolean;
  /** Time until its deadline. */
  readonly remainingMs: number;
  /** First-token times of its model and class. */
  readonly firstTokens: LatencyWindow;
  readonly limits?: Partial<HedgeLimits>;
}

/** Limits with their defaults in {@link DEFAULT_HEDGE_LIMITS}. */
export interface HedgeLimits {
  /** Quantile of the first-token times that the hedge's delay is based on. */
  readonly quantile: number;
  /** The delay is the quantile times this. */
  readonly factor: number;
  /** Measurements below which the quantile is not used. */
  readonly minSamples: number;
  readonly minDelayMs: number;
}

/** One and a half times the 95th percentile. */
export const DEFAULT_HEDGE_LIMITS: HedgeLimits = {
  quantile: 0.95,
  factor: 1.5,
  minSamples: 20,
  minDelayMs: 50,
};

/** When to decide on the hedge, or why there will be none. */
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
export function planHedge(input: HedgePlanInput): HedgePlan {
  const limits = {...DEFAULT_HEDGE_LIMITS, ...input.limits};
  const {firstTokens, remainingMs} = input;
  // A request that is not idempotent, such as a booking, would run twice.
  if (!input.idempotent) return {kind: 'never', reason: 'not_repeatable'};
  // It might crash a second endpoint while the first is still crashing.
  if (input.suspect) return {kind: 'never', reason: 'suspect'};
  const quantileMs = firstTokens.quantile(limits.quantile);
  if (quantileMs === undefined || firstTokens.count < limits.minSamples) {
    return {kind: 'never', reason: 'unmeasured'};
  }
  const delayMs = Math.max(
    limits.minDelayMs,
    Math.ceil(quantileMs * limits.factor),
  );
  // A first token that takes as long as the quantile would come too late.
  if (delayMs + quantileMs > remainingMs) {
    return {kind: 'never', reason: 'deadline'};
  }
  return {kind: 'wait', delayMs};
}

/** Input of {@link decideHedge}, when the planned delay has passed. */
export interface HedgeDecisionInput {
  readonly firstTokenSeen: boolean;
  /** Requests waiting in the cell to which the hedge would go. */
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

/** One request in twenty, since each hedge may be wasted work. */
export const DEFAULT_HEDGE_BUDGET: TokenBucketOptions = {
  share: 0.05,
  refillPerSecond: 0.1,
  capacity: 5,
};

/**
 * Decides on the hedge when its delay has passed, and charges it to the budget.
 * There is none while other requests wait: the silence then comes from load,
 * and a second attempt would take a place at an endpoint from a request that
 * has none.
 *
 * @example
 * if (decideHedge(input).kind === 'hedge') startSecondAttempt();
 */
export function decideHedge(input: HedgeDecisionInput): HedgeDecision {
  const {firstTokenSeen, waitingInCell, budget, nowMs} = input;
  if (firstTokenSeen) return {kind: 'stay', reason: 'answered'};
  if (waitingInCell > 0) return {kind: 'stay', reason: 'busy'};
  if (!budget.spend(nowMs)) return {kind: 'stay', reason: 'budget_spent'};
  return {kind: 'hedge'};
}
