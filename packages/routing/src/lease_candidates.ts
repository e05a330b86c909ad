/** Selects the instances that compete for a lease. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {InstanceId} from '@snipestage/types/ids.js';

/** An instance that may compete for a lease. */
export interface LeaseCandidate {
  readonly instance: InstanceId;
  readonly lease: string;
  /** Undefined while not known. */
  readonly instances: number | undefined;
  /** Time since the process started. */
  readonly upForMs: number;
}

/** Enough that one candidate remains when some are killed or cut off. */
const CANDIDATE_COUNT = 8;
/** While the number of instances is unknown, all compete after this time. */
const ALL_COMPETE_AFTER_MS = 10_000;
/** Hashes are 32 bits. */
const HASH_RANGE = 2 ** 32;

/**
 * Whether an instance competes for a lease. Each candidate polls the lease's
 * row, so only a few do, chosen by a hash of their names. Load pattern:
 * hundreds of instances start within a second and don't know their number; they
 * begin to compete one after the other, so that few do before the lease is
 * taken.
 *
 * @example
 * const isCandidate = competesForLease({instance, lease, instances, upForMs});
 */
export function competesForLease(candidate: LeaseCandidate): boolean {
  const {instance, lease, instances, upForMs} = candidate;
  const place = hashText(`${lease}/${instance}`) / HASH_RANGE;
  return instances === undefined
    ? place < upForMs / ALL_COMPETE_AFTER_MS
    : place < CANDIDATE_COUNT / instances;
}
