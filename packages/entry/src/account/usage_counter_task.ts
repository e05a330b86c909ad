/** Counts served requests and writes the counters to the table. */

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

/**
 * Delay until counts are copied to a peer; younger counts are lost if the
 * instance dies.
 */
const COPY_DELAY_MS = 250;
/**
 * All counters are sent in full at this interval, in case a message was lost.
 */
const FULL_COPY_INTERVAL_MS = 5000;
const FINAL_WRITE_RETRY_MS = 200;

/** Options of {@link UsageCounterTask}. */
export interface UsageCounterTaskOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly windowMs: number;
  readonly writeEveryMs: number;
  readonly executor: TableExecutor;
  /**
   * Finds the peer that holds a copy; `undefined` if this is the only instance.
   */
  readonly findReplica: () => InstanceId | undefined;
  readonly sendCopies: (
    replica: InstanceId,
    changes: readonly UsageCopyChange[],
  ) => void;
  readonly nowEpochMs?: () => number;
}

/**
 * Writes the counters to the table every few seconds. If the instance died in
 * between, the requests served since the last write would never be billed;
 * therefore a peer holds a copy.
 */
export class UsageCounterTask {
  private state: CountersState;
  private flushTimer: NodeJS.Timeout | undefined;
  private copyTimer: NodeJS.Timeout | undefined;
  private fullCopyTimer: NodeJS.Timeout | undefined;
  private replica: InstanceId | undefined;
  private readonly lastSent = new Map<string, CounterValue>();

  constructor(private readonly options: UsageCounterTaskOptions) {
    this.state = beginCounters(options);
  }

  start(): void {
    const {writeEveryMs} = this.options;
    this.flushTimer = setInterval(() => void this.flush(), writeEveryMs);
    this.fullCopyTimer = setInterval(() => {
      this.lastSent.clear();
      this.copy();
    }, FULL_COPY_INTERVAL_MS);
  }

  /** Counts a served request in the window of its end. */
  add(line: UsageLine): void {
    const nowEpochMs = (this.options.nowEpochMs ?? Date.now)();
    this.state = transitionCounters(this.state, {
      kind: 'count',
      line,
      nowEpochMs,
    }).state;
    this.copyTimer ??= setTimeout(() => this.copy(), COPY_DELAY_MS);
  }

  /**
   * Writes the remaining counts. Gives up after `maxWaitMs` if the table can't
   * be written; the peer then writes its copy.
   */
  async stop(maxWaitMs: number): Promise<void> {
    clearInterval(this.flushTimer);
    clearInterval(this.fullCopyTimer);
    this.copy();
    const deadlineMs = performance.now() + maxWaitMs;
    while (!areCountersWritten(this.state) && performance.now() < deadlineMs) {
      await this.flush();
      if (areCountersWritten(this.state)) return;
      await new Promise(resolve => setTimeout(resolve, FINAL_WRITE_RETRY_MS));
    }
  }

  /** The windows that are not fully written yet, and the newest one. */
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
    const replica = this.options.findReplica();
    if (replica !== this.replica) this.lastSent.clear();
    this.replica = replica;
    if (replica === undefined) return;
    const copies = listCopies(this.state);
    const changes = composeChanges(this.lastSent, copies);
    this.lastSent.clear();
    for (const {key, value} of copies) this.lastSent.set(key, value);
    if (changes.length > 0) this.options.sendCopies(replica, changes);
  }

  private async handle(event: CountersEvent): Promise<void> {
    const step = transitionCounters(this.state, event);
    this.state = step.state;
    for (const effect of step.effects) {
      await this.handle(await this.options.executor.carryOut(effect));
    }
  }
}
