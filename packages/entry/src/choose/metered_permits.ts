/** Measures waits and attempts as permits are granted and released. */

import type {Metrics} from '@snipestage/log/metrics.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import type {MonotonicClock} from '../clock.js';
import {
  Permits,
  type AttemptReport,
  type Permit,
  type PermitRequest,
} from './permits.js';

/** Options of {@link MeteredPermits}. */
export interface MeteredPermitsOptions {
  readonly permits: Permits;
  readonly metrics: Metrics;
  readonly clock: MonotonicClock;
}

/** Delegates to other permits and sends metrics. */
export class MeteredPermits extends Permits {
  constructor(private readonly options: MeteredPermitsOptions) {
    super();
  }

  async acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    const {permits, metrics, clock} = this.options;
    const {requestClass} = request;
    const requestedAtMs = clock();
    const permit = await permits.acquire(request, signal);
    const waitMs = clock() - requestedAtMs;
    metrics.timing('queue_wait_ms', waitMs, {class: requestClass.id});
    return {
      endpoint: permit.endpoint,
      mayStillSend: permit.mayStillSend,
      progress: tokens => permit.progress(tokens),
      release: report => {
        this.measure(requestClass, permit, report);
        permit.release(report);
      },
    };
  }

  private measure(
    requestClass: RequestClass,
    {endpoint}: Permit,
    report: AttemptReport,
  ): void {
    const {metrics} = this.options;
    const {outcome, firstTokenMs, betweenTokensMs} = report;
    const tags = {class: requestClass.id};
    metrics.count('attempts', 1, {...tags, outcome});
    metrics.count('output_tokens', report.outputTokens ?? 0, {
      ...tags,
      endpoint_kind: endpoint.kind,
    });
    if (outcome === 'ok') {
      metrics.count('prompt_tokens', report.promptTokens ?? 0, tags);
    }
    if (outcome === 'cancelled') {
      const cause = {...tags, cause: 'cancelled'};
      metrics.count('wasted_tokens', report.outputTokens ?? 0, cause);
    }
    if (firstTokenMs !== undefined) {
      metrics.timing('first_token_ms', firstTokenMs, tags);
      const isMet = firstTokenMs <= requestClass.firstTokenTargetMs;
      this.countTarget(requestClass, 'first_token', isMet);
    }
    if (betweenTokensMs !== undefined) {
      metrics.timing('between_tokens_ms', betweenTokensMs, tags);
      const isMet = betweenTokensMs <= requestClass.betweenTokensTargetMs;
      this.countTarget(requestClass, 'between_tokens', isMet);
    }
  }

  private countTarget(
    {id}: RequestClass,
    target: string,
    isMet: boolean,
  ): void {
    this.options.metrics.count('targets_met', 1, {
      class: id,
      target,
      met: isMet ? 'yes' : 'no',
    });
  }
}
