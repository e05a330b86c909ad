/** Carries out the agreement protocols' effects on the platform's table. */

import type {
  TableEffect,
  TableEvent,
} from '@snipestage/agreement/table_effects.js';
import type {Platform} from '@snipestage/platform/platform.js';
import type {MonotonicClock} from '../clock.js';

const JITTER_SHARE = 0.5;

/** Options of {@link TableExecutor}. */
export interface TableExecutorOptions {
  readonly platform: Platform;
  readonly clock: MonotonicClock;
  /**
   * Returns a number of at least 0 and below 1; spreads out the waits of
   * several instances.
   */
  readonly random?: () => number;
}

/** Turns effects into calls and answers into events. */
export class TableExecutor {
  private readonly random: () => number;

  constructor(private readonly options: TableExecutorOptions) {
    this.random = options.random ?? Math.random;
  }

  /**
   * Makes one call and returns its event. Never throws.
   *
   * @example
   * const event = await executor.carryOut(effect);
   */
  async carryOut(effect: TableEffect): Promise<TableEvent> {
    const {platform, clock} = this.options;
    const {call} = effect;
    switch (effect.kind) {
      case 'read': {
        const result = await platform.readRows(effect.keys);
        return {kind: 'read_answered', call, result, nowMs: clock()};
      }
      case 'scan': {
        const result = await platform.scanRows(effect.prefix);
        return {kind: 'read_answered', call, result, nowMs: clock()};
      }
      case 'transact': {
        const result = await platform.transact(effect.transaction);
        return {kind: 'transaction_answered', call, result, nowMs: clock()};
      }
      case 'wait':
        await this.wait(effect.delayMs);
        return {kind: 'waited', call, nowMs: clock()};
    }
  }

  private wait(delayMs: number): Promise<void> {
    const jitter = 1 + JITTER_SHARE * (this.random() - JITTER_SHARE);
    return new Promise(resolve => setTimeout(resolve, delayMs * jitter));
  }
}
