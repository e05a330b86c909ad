/**
 * Rows of a lease: `leases/<name>`, rewritten by each renewal, and
 * `fences/<name>`, which changes only when the lease changes hands.
 */

import {eraOf, type StoreVersion} from '@snipestage/types/store_version.js';
import {
  brandAs,
  type FencingToken,
  type Incarnation,
  type InstanceId,
  type LeaseName,
} from '@snipestage/types/ids.js';
import type {Row, TableTransaction} from '@snipestage/types/table.js';

/** Value of a lease row; the row is never deleted, so that tokens only rise. */
export interface LeaseValue {
  readonly holder: InstanceId;
  readonly incarnation: Incarnation;
  readonly fencingToken: FencingToken;
  /** Rises with each write of an incarnation, so that no two have the same. */
  readonly renewals: number;
  /** Released by its holder: a successor need not wait for the term to end. */
  readonly released: boolean;
}

/** Tokens of one era of the store. */
export const TOKENS_PER_ERA = 1_000_000;

/**
 * The token after a former one. The row may have been lost with tokens that were
 * given out since, so that each era of the store has tokens of its own.
 *
 * @example
 * const fencingToken = nextToken(value?.fencingToken, row.version);
 */
export function nextToken(
  former: FencingToken | undefined,
  rowVersion: StoreVersion,
): FencingToken {
  const beforeFirst = eraOf(rowVersion) * TOKENS_PER_ERA;
  return brandAs<FencingToken>(Math.max(former ?? 0, beforeFirst) + 1);
}

/** Whether a token was given out in the era of a row as it was read. */
export function isTokenOfEra(
  token: FencingToken,
  rowVersion: StoreVersion,
): boolean {
  return Math.floor((token - 1) / TOKENS_PER_ERA) === eraOf(rowVersion);
}

/** Value of a fence row, which changes only when the lease changes hands. */
export interface FenceValue {
  readonly fencingToken: FencingToken;
}

/** The term of a lease under which orders or transactions are sent. */
export interface LeaseTerm {
  readonly fencingToken: FencingToken;
  /** Version of the fence row, which a guarded transaction checks. */
  readonly fenceVersion: StoreVersion;
}

/**
 * @example
 * leaseKey(brandAs<LeaseName>('orders/akl-a')); // 'leases/orders/akl-a'
 */
export function leaseKey(name: LeaseName): string {
  return `leases/${name}`;
}

/**
 * Key of the row that transactions under the lease check. Renewals don't write
 * it, so they don't make such transactions fail.
 *
 * @example
 * fenceKey(brandAs<LeaseName>('orders/akl-a')); // 'fences/orders/akl-a'
 */
export function fenceKey(name: LeaseName): string {
  return `fences/${name}`;
}

/**
 * The fence row's version; undefined if its token differs from the lease row's,
 * as the lease changed hands between the reads of the two rows.
 *
 * @example
 * const fenceVersion = matchingFenceVersion(fence, row);
 */
export function matchingFenceVersion(
  fence: Row,
  row: Row,
): StoreVersion | undefined {
  const token = (fence.value as FenceValue | null)?.fencingToken;
  const own = (row.value as LeaseValue | null)?.fencingToken === token;
  return own ? fence.version : undefined;
}

/**
 * The transaction that takes, renews or releases a lease, if its row is still
 * at the version that was read.
 *
 * @example
 * const transaction = composeLeaseWrite({name, row, wanted, takes: true});
 */
export function composeLeaseWrite(options: {
  readonly name: LeaseName;
  readonly row: Row;
  readonly wanted: LeaseValue;
  /** Starts a term under a new token, so that the fence changes too. */
  readonly takes: boolean;
}): TableTransaction {
  const {name, row, wanted, takes} = options;
  const key = leaseKey(name);
  const fence: FenceValue = {fencingToken: wanted.fencingToken};
  return {
    checks: [{key, version: row.version}],
    writes: [
      {key, value: wanted},
      ...(takes ? [{key: fenceKey(name), value: fence}] : []),
    ],
  };
}
