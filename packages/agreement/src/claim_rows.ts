/**
 * Rows that let a request with an idempotency key run at most once:
 * `claims/<shard>/<account and key, hashed>`, in 256 shards so that a cleanup
 * scans a small part at a time.
 */

import type {
  AttemptId,
  ClientAccountId,
  Fingerprint,
  IdempotencyKey,
  Incarnation,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {Row, TableTransaction} from '@snipestage/types/table.js';
import {digestOf} from './canonical_json.js';

/** A stored answer to replay; `object` names a body in the object store. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body:
    | {readonly kind: 'inline'; readonly text: string}
    | {readonly kind: 'object'; readonly key: string};
}

/** The attempt that claimed, its request's content, and the row's expiry. */
export interface ClaimOwner {
  readonly attempt: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly expiresAtEpochMs: number;
}

/** Status of a claimed request. */
export type ClaimStatus =
  /** Claimed; it may be running. */
  | {readonly kind: 'claimed'}
  | {readonly kind: 'answered'; readonly answer: StoredAnswer}
  /** Sent; no answer showed whether it ran, or its answer couldn't be stored. */
  | {readonly kind: 'unknown'; readonly verdict: 'may_have_run' | 'ran'}
  /** Certainly not run; the key can be claimed again. */
  | {readonly kind: 'released'};

/** Value of a claim row. */
export interface ClaimValue extends ClaimOwner {
  readonly status: ClaimStatus;
}

export const CLAIMS_PREFIX = 'claims/';
const SHARD_DIGITS = 2;

/** Number of shards, for {@link claimShardPrefix}. */
export const CLAIM_SHARD_COUNT = 256;

/**
 * Key of the claim row; a hash, as callers may choose any idempotency key.
 *
 * @example
 * const key = claimKey(account, brandAs<IdempotencyKey>('booking-17'));
 */
export function claimKey(
  clientAccount: ClientAccountId,
  idempotencyKey: IdempotencyKey,
): string {
  const digest = digestOf([clientAccount, idempotencyKey]);
  return `${CLAIMS_PREFIX}${digest.slice(0, SHARD_DIGITS)}/${digest}`;
}

/**
 * Prefix of one shard's rows, which a cleanup scans.
 *
 * @example
 * claimShardPrefix(255); // 'claims/ff/'
 */
export function claimShardPrefix(shard: number): string {
  return `${CLAIMS_PREFIX}${shard.toString(16).padStart(SHARD_DIGITS, '0')}/`;
}

/**
 * Transactions that delete expired claims. Any instance may carry them out, as
 * each is conditional on the version that was read. Assumes that instances'
 * clocks differ by far less than the retention.
 *
 * @example
 * const transactions = planClaimCleanup(rows, Date.now());
 */
export function planClaimCleanup(
  rows: readonly Row[],
  nowEpochMs: number,
): readonly TableTransaction[] {
  return rows
    .filter(row => (row.value as ClaimValue).expiresAtEpochMs <= nowEpochMs)
    .map(({key, version}) => ({
      checks: [{key, version}],
      writes: [{key, value: null}],
    }));
}
