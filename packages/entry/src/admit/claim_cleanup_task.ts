/** Deletes expired claims, a small part of them at a time. */

import {
  CLAIM_SHARD_COUNT,
  claimShardPrefix,
  planClaimCleanup,
} from '@snipestage/agreement/claim_rows.js';
import type {Platform} from '@snipestage/platform/platform.js';

/** All shards come round within a day. */
const SHARD_EVERY_MS = (24 * 60 * 60 * 1000) / CLAIM_SHARD_COUNT;

/** Options of {@link ClaimCleanupTask}. */
export interface ClaimCleanupTaskOptions {
  readonly platform: Platform;
  /** One instance is enough; two do no harm, each deletion is conditional. */
  readonly isInCharge: () => boolean;
  readonly nowEpochMs?: () => number;
}

/** Without it the table would grow by a row with each keyed request. */
export class ClaimCleanupTask {
  private timer: NodeJS.Timeout | undefined;
  private shard = 0;

  constructor(private readonly options: ClaimCleanupTaskOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.cleanNext(), SHARD_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Cleans one shard; what fails is tried again when it comes round. */
  async cleanNext(): Promise<void> {
    const {platform, isInCharge} = this.options;
    if (!isInCharge()) return;
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
