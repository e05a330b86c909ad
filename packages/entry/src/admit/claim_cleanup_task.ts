/** Deletes expired claims, one shard of the claim rows at a time. */

import {
  CLAIM_SHARD_COUNT,
  claimShardPrefix,
  planClaimCleanup,
} from '@snipestage/agreement/claim_rows.js';
import type {Platform} from '@snipestage/platform/platform.js';

/** Interval between shards, so that every shard is cleaned once a day. */
const SHARD_INTERVAL_MS = (24 * 60 * 60 * 1000) / CLAIM_SHARD_COUNT;

/** Options of {@link ClaimCleanupTask}. */
export interface ClaimCleanupTaskOptions {
  readonly platform: Platform;
  /**
   * Whether this instance cleans up. One instance is enough; two do no harm,
   * since each deletion is conditional on the version that was read.
   */
  readonly holdsLease: () => boolean;
  readonly nowEpochMs?: () => number;
}

/** Keeps the table from growing by one row with each keyed request. */
export class ClaimCleanupTask {
  private timer: NodeJS.Timeout | undefined;
  private shard = 0;

  constructor(private readonly options: ClaimCleanupTaskOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.cleanNext(), SHARD_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Cleans the next shard. A failed scan or deletion is retried when the
   * shard's turn comes again, a day later.
   */
  async cleanNext(): Promise<void> {
    const {platform, holdsLease} = this.options;
    if (!holdsLease()) return;
    const prefix = claimShardPrefix(this.shard);
    this.shard = (this.shard + 1) % CLAIM_SHARD_COUNT;
    const scanned = await platform.scanRows(prefix);
    if (scanned.kind === 'unavailable') return;
    const nowEpochMs = (this.options.nowEpochMs ?? Date.now)();
    for (const transaction of planClaimCleanup(scanned.rows, nowEpochMs)) {
      await platform.transact(transaction);
    }
  }
}
