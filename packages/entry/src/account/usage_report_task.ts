/** Seals and reports usage windows while the usage lease is held. */

import {
  beginReporter,
  transitionReporter,
} from '@snipestage/agreement/usage.js';
import type {
  ReporterEffect,
  ReporterEvent,
  ReporterState,
} from '@snipestage/agreement/usage_reporter_messages.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Metrics} from '@snipestage/log/metrics.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {TableEvent} from '@snipestage/agreement/table_effects.js';
import {isSeal} from '@snipestage/agreement/usage_rows.js';
import type {LeaseName} from '@snipestage/types/ids.js';
import type {LeaseTask} from '../agree/lease_task.js';
import type {TableExecutor} from '../configure/table_executor.js';

const TICK_EVERY_MS = 1000;

/** Options of {@link UsageReportTask}. */
export interface UsageReportTaskOptions {
  readonly name: LeaseName;
  readonly lease: LeaseTask;
  readonly windowMs: number;
  readonly graceMs: number;
  readonly executor: TableExecutor;
  readonly platform: Platform;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly nowEpochMs?: () => number;
}

/** Carries out the effects of the usage reporting protocol. */
export class UsageReportTask {
  private state: ReporterState;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: UsageReportTaskOptions) {
    const {name: lease, windowMs, graceMs} = options;
    this.state = beginReporter({lease, windowMs, graceMs});
    options.lease.listen({
      acquired: held => this.handle({kind: 'acquired', held}),
      lost: () => this.handle({kind: 'lost'}),
    });
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), TICK_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  snapshot(): object {
    return {
      inCharge: this.state.term !== undefined,
      phase: this.state.phase.kind,
    };
  }

  private tick(): void {
    const nowEpochMs = (this.options.nowEpochMs ?? Date.now)();
    this.handle({kind: 'tick', nowEpochMs});
  }

  private handle(event: ReporterEvent): void {
    const step = transitionReporter(this.state, event);
    this.state = step.state;
    for (const effect of step.effects) void this.carryOut(effect);
  }

  private async carryOut(effect: ReporterEffect): Promise<void> {
    const {platform, lease, logger, executor} = this.options;
    switch (effect.kind) {
      case 'report': {
        const {report, call} = effect;
        const result = await platform.reportUsage(report, lease.guard());
        logger.info('usage_reported', {
          window: report.window,
          result: result.kind,
        });
        if (result.kind === 'accepted') this.countWindow('reported');
        this.handle({kind: 'report_answered', call, result});
        return;
      }
      case 'report_refused':
        logger.error('usage_report_refused', {
          window: effect.window,
          reason: effect.reason,
        });
        return;
      default: {
        const event = await executor.carryOut(effect);
        if (hasSealed(effect, event)) this.countWindow('sealed');
        this.handle(event);
      }
    }
  }

  private countWindow(step: 'sealed' | 'reported'): void {
    this.options.metrics.count('usage_windows', 1, {step});
  }
}

/** Whether a transaction has written the seal of a window. */
function hasSealed(effect: ReporterEffect, event: TableEvent): boolean {
  return (
    effect.kind === 'transact' &&
    effect.transaction.writes.some(isSeal) &&
    event.kind === 'transaction_answered' &&
    event.result.kind === 'committed'
  );
}
