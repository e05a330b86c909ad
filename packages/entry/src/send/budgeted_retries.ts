/** Limits retries to a budget per request class. */

import type {Metrics} from '@snipestage/log/metrics.js';
import {
  ClassBudgets,
  DEFAULT_RETRY_BUDGET,
  decideRetry,
  type RetryDecision as BudgetDecision,
} from '@snipestage/policy/retry_budget.js';
import type {RequestClassId} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import {
  RetryPolicy,
  type FailedAttempt,
  type RetryDecision,
} from './retry_policy.js';

/** Options of {@link BudgetedRetries}. */
export interface BudgetedRetriesOptions {
  readonly clock: MonotonicClock;
  readonly random?: () => number;
  readonly metrics?: Metrics;
}

/**
 * Allows retries within each request class's budget. When many endpoints fail,
 * retries without a budget multiply the load on the others until these fail
 * too.
 */
export class BudgetedRetries extends RetryPolicy {
  private readonly budgets = new ClassBudgets(DEFAULT_RETRY_BUDGET);

  constructor(private readonly options: BudgetedRetriesOptions) {
    super();
  }

  countRequest(requestClass: RequestClassId): void {
    this.budgets.countRequest(requestClass, this.options.clock());
  }

  decide(failed: FailedAttempt): RetryDecision {
    const decision = decideRetry({
      verdict: failed.verdict,
      idempotent: failed.repeatable,
      attempts: failed.attempts,
      remainingMs: failed.remainingMs,
      cause: failed.cause,
      budget: this.budgets.of(failed.requestClass),
      nowMs: this.options.clock(),
      random: this.options.random ?? Math.random,
    });
    this.measure(failed, decision);
    return decision;
  }

  private measure(failed: FailedAttempt, decision: BudgetDecision): void {
    const {metrics} = this.options;
    const tags = {class: failed.requestClass};
    if (decision.kind === 'retry') {
      metrics?.count('retries', 1, {...tags, cause: failed.cause});
    } else {
      const {reason} = decision;
      metrics?.count('retries_stopped', 1, {...tags, reason});
    }
  }
}
