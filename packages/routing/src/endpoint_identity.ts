/** Distinguishes an endpoint from another one that has its address now. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** What an endpoint states of itself; undefined where it doesn't. */
export interface StatedIdentity {
  readonly id?: EndpointId;
  /** Unix time of its start. */
  readonly bornEpochMs?: number;
}

/** `unknown`: nothing was stated that can be compared. */
export type IdentityMatch = 'same' | 'other' | 'unknown';

/**
 * Whether what answers at the address of an endpoint is that endpoint. The time
 * of its start also distinguishes it from a later start under the same id.
 *
 * @example
 * if (compareIdentity(endpoint, stated) === 'other') return 'gone';
 */
export function compareIdentity(
  {id, bornEpochMs}: ServingEndpoint,
  stated: StatedIdentity,
): IdentityMatch {
  const comparisons = [
    compare(id, stated.id),
    compare(bornEpochMs, stated.bornEpochMs),
  ];
  if (comparisons.includes('other')) return 'other';
  return comparisons.includes('same') ? 'same' : 'unknown';
}

function compare<Value>(
  known: Value | undefined,
  stated: Value | undefined,
): IdentityMatch {
  if (known === undefined || stated === undefined) return 'unknown';
  return known === stated ? 'same' : 'other';
}
