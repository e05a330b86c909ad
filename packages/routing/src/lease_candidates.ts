/** Which instances stand for a lease that all of them could hold. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {InstanceId} from '@snipestage/types/ids.js';

/** One instance before one lease. */
export interface LeaseCandidate {
  readonly instance: InstanceId;
  readonly lease: string;
  /** Undefined while nobody has counted them. */
  readonly instances: number | undefined;
  /** Since its process has started. */
  readonly upForMs: number;
}

/** Some may be cut off from the store, or killed, and one is to be left. */
const CANDIDATES = 8;
/** While the number of instances isn't known, all have stood after so long. */
const ALL_STAND_AFTER_MS = 10_000;
/** Hashes are 32 bits. */
const HASH_RANGE = 2 ** 32;

/**
 * A few stand for a lease, since each of them polls its row. They are chosen by
 * a hash of their names, which needs no call. Load pattern: hundreds of
 * instances start within a second and don't know of each other. They stand one
 * after the other, so that a dozen have written when the first has the lease.
 *
 * @example
 * const stands = standsForLease({instance, lease, instances, upForMs});
 */
export function standsForLease(candidate: LeaseCandidate): boolean {
  const {instance, lease, instances, upForMs} = candidate;
  const place = hashText(`${lease}/${instance}`) / HASH_RANGE;
  return instances === undefined
    ? place < upForMs / ALL_STAND_AFTER_MS
    : place < CANDIDATES / instances;
}
