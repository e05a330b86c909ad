/** A store with one row, and its clock, in a simulation without a network. */

import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import {
  FollowedTable,
  type FollowedRow,
  type TableReading,
} from '../table_follower.js';

/** Options of {@link SimulatedStore}. */
export interface SimulatedStoreOptions {
  readonly nowMs: () => number;
  /** How long a message is on its way to the store, or back. */
  readonly wayMs: number;
  /** Time allowed for an answer beyond the wait of a poll. */
  readonly callMarginMs: number;
}

/** The store's clock is ahead of the instances' by this. */
const AHEAD_MS = 50_000;
const KEY = 'config';

const after = (delayMs: number) =>
  new Promise<void>(done => setTimeout(done, delayMs));

/** The row's data is the number of its last change. */
export class SimulatedStore {
  private number = 1;
  private readonly waiting = new Set<() => void>();

  constructor(private readonly options: SimulatedStoreOptions) {}

  /** Accepts a change; polls that wait for one are answered. */
  accept(): number {
    this.number += 1;
    for (const answer of [...this.waiting]) answer();
    return this.number;
  }

  /**
   * The table as one instance calls it.
   *
   * @param isLost called at the sending of each call: whether it gets no answer.
   */
  connect(isLost: () => boolean = () => false): FollowedTable {
    return new SimulatedTable(this, isLost);
  }

  async read(isLost: boolean): Promise<TableReading> {
    return this.answer(isLost, 0, async () => undefined);
  }

  async poll(
    since: StoreVersion,
    waitMs: number,
    isLost: boolean,
  ): Promise<TableReading> {
    return this.answer(isLost, waitMs, () => this.wait(since, waitMs), since);
  }

  private async answer(
    isLost: boolean,
    waitMs: number,
    wait: () => Promise<void>,
    since = composeStoreVersion({era: 0, number: 0}),
  ): Promise<TableReading> {
    const {nowMs, wayMs, callMarginMs} = this.options;
    const sentAtMs = nowMs();
    if (isLost) {
      await after(waitMs + callMarginMs);
      return {kind: 'unavailable', reason: 'timeout'};
    }
    await after(wayMs);
    await wait();
    const version = composeStoreVersion({era: 0, number: this.number});
    const rows = version > since ? [this.row(version)] : [];
    const storeMs = nowMs() + AHEAD_MS;
    await after(wayMs);
    const clock = {storeMs, sentAtMs, receivedAtMs: nowMs()};
    return {kind: 'rows', rows, version, clock};
  }

  private row(version: StoreVersion): FollowedRow {
    return {key: KEY, version, data: Buffer.from(String(this.number))};
  }

  private wait(since: StoreVersion, waitMs: number): Promise<void> {
    const known = composeStoreVersion({era: 0, number: this.number});
    if (known > since) return Promise.resolve();
    return new Promise(done => {
      const answer = () => {
        clearTimeout(timer);
        this.waiting.delete(answer);
        done();
      };
      const timer = setTimeout(answer, waitMs);
      this.waiting.add(answer);
    });
  }
}

class SimulatedTable extends FollowedTable {
  readonly name = 'simulated';

  constructor(
    private readonly store: SimulatedStore,
    private readonly isLost: () => boolean,
  ) {
    super();
  }

  readAll(): Promise<TableReading> {
    return this.store.read(this.isLost());
  }

  waitForChanges(since: StoreVersion, waitMs: number): Promise<TableReading> {
    return this.store.poll(since, waitMs, this.isLost());
  }
}
