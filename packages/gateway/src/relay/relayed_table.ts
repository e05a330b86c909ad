/** A table that is followed by way of a relay while there is one. */

import {FollowedTable, type TableReading} from '../table_follower.js';
import type {RelayedFeed} from './relayed_feed.js';

/** Falls back to the store as soon as the relay's word is not fresh. */
export class RelayedTable extends FollowedTable {
  constructor(
    private readonly store: FollowedTable,
    private readonly feed: RelayedFeed,
    private readonly nowMs: () => number,
  ) {
    super();
  }

  get name(): string {
    return this.store.name;
  }

  readAll(): Promise<TableReading> {
    return this.store.readAll();
  }

  async waitForChanges(
    sinceVersion: number,
    waitMs: number,
  ): Promise<TableReading> {
    const endsAtMs = this.nowMs() + waitMs;
    while (this.feed.isFresh(this.nowMs())) {
      // What the relay did not see is read from the store, at once.
      if (!this.feed.covers(sinceVersion)) {
        return this.store.waitForChanges(sinceVersion, 0);
      }
      const leftMs = endsAtMs - this.nowMs();
      if (this.feed.hasRows || leftMs <= 0) return this.takeIn(sinceVersion);
      await this.feed.next(Math.min(leftMs, this.feed.freshForMs));
    }
    return this.store.waitForChanges(sinceVersion, waitMs);
  }

  private takeIn(sinceVersion: number): TableReading {
    const {rows, version} = this.feed.drain(sinceVersion);
    return {kind: 'rows', rows, version, clock: undefined, isRelayed: true};
  }
}
