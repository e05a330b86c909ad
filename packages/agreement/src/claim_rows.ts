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

/** An answer as it is given again; `object` names a body in the object store. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body:
    | {readonly kind: 'inline'; readonly text: string}
    | {readonly kind: 'object'; readonly key: string};
}

/** Who claimed, for what content, and until when the row is kept. */
export interface ClaimOwner {
  readonly attempt: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly expiresAtEpochMs: number;
}

/** How a claimed request stands. */
export type ClaimStatus =
  /** Claimed; it may be running. */
  | {readonly kind: 'claimed'}
  | {readonly kind: 'answered'; readonly answer: KeptAnswer}
  /** Sent, and either no answer settled it or its answer could not be kept. */
  | {readonly kind: 'unknown'; readonly verdict: 'may_have_run' | 'ran'}
  /** Certainly not run; the key is free again. */
  | {readonly kind: 'released'};

/** Value of a claim row. */
export interface ClaimValue extends ClaimOwner {
  readonly status: ClaimStatus;
}

export const CLAIMS_PREFIX = 'claims/';
const SHARD_DIGITS = 2;

/** Number of prefixes that {@link claimShardPrefix} tells apart. */
export const CLAIM_SHARDS = 256;

/**
 * Key of the claim row. Hashed, as callers choose their keys freely.
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
 * Prefix of one shard's rows, to be scanned for a cleanup.
 *
 * @example
 * claimShardPrefix(255); // 'claims/ff/'
 */
export function claimShardPrefix(shard: number): string {
  return `${CLAIMS_PREFIX}${shard.toString(16).padStart(SHARD_DIGITS, '0')}/`;
}

/**
 * Transactions that delete expired claims. Anyone may carry them out: each is
 * conditional on the row as it was read. Instances' clocks may differ by far
 * less than the retention.
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
