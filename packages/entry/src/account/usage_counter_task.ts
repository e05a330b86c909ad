/** Counts what was served and keeps the table informed. */

import {
  areCountersWritten,
  beginCounters,
  listCopies,
  transitionCounters,
  type CountersEvent,
  type CountersState,
} from '@snipestage/agreement/usage_counters.js';
import type {CounterValue} from '@snipestage/agreement/usage_rows.js';
import type {Incarnation, InstanceId} from '@snipestage/types/ids.js';
import type {UsageLine} from '@snipestage/types/platform_messages.js';
import type {TableExecutor} from '../configure/table_executor.js';
import {composeChanges, type UsageCopyChange} from './usage_copy.js';

/** Figures younger than this are lost with their instance. */
const COPY_AFTER_MS = 250;
/** Sent whole so often, in case a message was lost. */
const WHOLE_COPY_EVERY_MS = 5000;
const LAST_WRITE_RETRY_MS = 200;

/** Options of {@link UsageCounterTask}. */
export interface UsageCounterTaskOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly windowMs: number;
  readonly writeEveryMs: number;
  readonly executor: TableExecutor;
  /** The peer that keeps a copy; none when this instance is alone. */
  readonly findKeeper: () => InstanceId | undefined;
  readonly sendCopies: (
    keeper: InstanceId,
    changes: readonly UsageCopyChange[],
  ) => void;
  readonly nowEpochMs?: () => number;
}

/**
 * Figures are written every few seconds. If the instance dies in between, what
 * it served since then would never be billed, so a peer has a copy.
 */
export class UsageCounterTask {
  private state: CountersState;
  private flushTimer: NodeJS.Timeout | undefined;
  private copyTimer: NodeJS.Timeout | undefined;
  private wholeTimer: NodeJS.Timeout | undefined;
  private keeper: InstanceId | undefined;
  private readonly lastSent = new Map<string, CounterValue>();

  constructor(private readonly options: UsageCounterTaskOptions) {
    this.state = beginCounters(options);
  }

  start(): void {
    const {writeEveryMs} = this.options;
    this.flushTimer = setInterval(() => void this.flush(), writeEveryMs);
    this.wholeTimer = setInterval(() => {
      this.lastSent.clear();
      this.copy();
    }, WHOLE_COPY_EVERY_MS);
  }

  /** Counts a served request in the window of its end. */
  add(line: UsageLine): void {
    const nowEpochMs = (this.options.nowEpochMs ?? Date.now)();
    this.state = transitionCounters(this.state, {
      kind: 'count',
      line,
      nowEpochMs,
    }).state;
    this.copyTimer ??= setTimeout(() => this.copy(), COPY_AFTER_MS);
  }

  /**
   * Writes the last figures. While the table can't be written it gives up after
   * the time allowed; the peer's copy is then written by the peer.
   */
  async stop(patienceMs: number): Promise<void> {
    clearInterval(this.flushTimer);
    clearInterval(this.wholeTimer);
    this.copy();
    const deadlineMs = performance.now() + patienceMs;
    while (!areCountersWritten(this.state) && performance.now() < deadlineMs) {
      await this.flush();
      if (areCountersWritten(this.state)) return;
      await new Promise(resolve => setTimeout(resolve, LAST_WRITE_RETRY_MS));
    }
  }

  /** Windows not yet written whole, and the newest one. */
  snapshot(): object {
    return {
      windows: this.state.windows.map(({window, value, writtenSequence}) => ({
        window,
        lines: value.lines,
        unwritten: value.sequence - writtenSequence,
      })),
    };
  }

  private flush(): Promise<void> {
    return this.handle({kind: 'flush'});
  }

  private copy(): void {
    clearTimeout(this.copyTimer);
    this.copyTimer = undefined;
    const keeper = this.options.findKeeper();
    if (keeper !== this.keeper) this.lastSent.clear();
    this.keeper = keeper;
    if (keeper === undefined) return;
    const copies = listCopies(this.state);
    const changes = composeChanges(this.lastSent, copies);
    this.lastSent.clear();
    for (const {key, value} of copies) this.lastSent.set(key, value);
    if (changes.length > 0) this.options.sendCopies(keeper, changes);
  }

  private async handle(event: CountersEvent): Promise<void> {
    const step = transitionCounters(this.state, event);
    this.state = step.state;
    for (const effect of step.effects) {
      await this.handle(await this.options.executor.carryOut(effect));
    }
  }
}
