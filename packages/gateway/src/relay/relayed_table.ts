/** A table that is followed through a relay while there is one. */

import type {Logger} from '@snipestage/log/logger.js';
import type {StoreVersion} from '@snipestage/types/store_version.js';
import {FollowedTable, type TableReading} from '../table_follower.js';
import type {RelayedFeed} from './relayed_feed.js';

/** Result of a poll that was aborted; its caller is no longer interested. */
const STOPPED: TableReading = {kind: 'unavailable', reason: 'stopped'};

/**
 * Falls back to the store as soon as the relay's last confirmation is stale.
 */
export class RelayedTable extends FollowedTable {
  /** Whether the feed was fresh at the last look. */
  private followsFeed = false;

  constructor(
    private readonly store: FollowedTable,
    private readonly feed: RelayedFeed,
    private readonly nowMs: () => number,
    private readonly logger?: Logger,
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
    sinceVersion: StoreVersion,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<TableReading> {
    const endsAtMs = this.nowMs() + waitMs;
    this.feed.dropUntil(sinceVersion);
    while (this.feed.isFresh(this.nowMs())) {
      this.followsFeed = true;
      // Changes that the feed has missed are read from the store at once.
      if (!this.feed.covers(sinceVersion)) {
        return this.store.waitForChanges(sinceVersion, 0);
      }
      const leftMs = endsAtMs - this.nowMs();
      if (this.feed.hasRows || leftMs <= 0) return this.drainFeed(sinceVersion);
      const freshLeftMs = this.feed.freshLeftMs(this.nowMs());
      await this.feed.next(Math.min(leftMs, freshLeftMs), signal);
      if (signal?.aborted) return STOPPED;
    }
    const isFirstPoll = this.followsFeed;
    this.followsFeed = false;
    // The store was last read before the relay fell silent, and the connection
    // to it may be gone: a long poll would detect that too late.
    return isFirstPoll
      ? this.fallBack(sinceVersion)
      : this.pollStore(sinceVersion, waitMs, signal);
  }

  override async waitForNews(
    sinceVersion: StoreVersion,
    waitMs: number,
  ): Promise<void> {
    const endsAtMs = this.nowMs() + waitMs;
    for (;;) {
      const leftMs = endsAtMs - this.nowMs();
      if (leftMs <= 0 || this.feed.hasNews(sinceVersion)) return;
      await this.feed.next(leftMs);
    }
  }

  /** Polls the store until the relay has sent changes; the poll may hang. */
  private async pollStore(
    sinceVersion: StoreVersion,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<TableReading> {
    const ending = new AbortController();
    let reading: TableReading | undefined;
    const polled = this.store
      .waitForChanges(sinceVersion, waitMs, ending.signal)
      .then(result => (reading = result))
      .finally(() => ending.abort());
    signal?.addEventListener('abort', () => ending.abort(), {
      signal: ending.signal,
    });
    while (reading === undefined) {
      if (signal?.aborted) return STOPPED;
      if (this.feed.hasNews(sinceVersion)) {
        ending.abort();
        return this.drainFeed(sinceVersion);
      }
      const isNews = this.feed.next(waitMs, ending.signal);
      await Promise.race([polled, isNews]);
    }
    return reading;
  }

  private async fallBack(sinceVersion: StoreVersion): Promise<TableReading> {
    const sentAtMs = this.nowMs();
    const {asOfMs, updatedAtMs} = this.feed;
    const reading = await this.store.waitForChanges(sinceVersion, 0);
    // A closed feed has no time of confirmation.
    const isExpired = Number.isFinite(asOfMs);
    this.logger?.info('relay_expired', {
      table: this.name,
      ageMs: isExpired ? Math.round(sentAtMs - asOfMs) : undefined,
      updatedAgoMs: Math.round(sentAtMs - updatedAtMs),
      outcome: reading.kind,
      tookMs: Math.round(this.nowMs() - sentAtMs),
    });
    return reading;
  }

  private drainFeed(sinceVersion: StoreVersion): TableReading {
    const {asOfMs, rowsArrivedAtMs: arrivedAtMs} = this.feed;
    const {rows, version} = this.feed.drain(sinceVersion);
    return {
      kind: 'rows',
      rows,
      version,
      clock: undefined,
      isRelayed: true,
      asOfMs,
      arrivedAtMs,
    };
  }
}
