/**
 * Versions of a store that may be set back to an older copy of itself. Versions
 * that it gave out since the copy are then given out again, and a counter that
 * it states, its era, rises. A version is only meaningful within its era.
 */

import {brandAs, type Branded} from './ids.js';

/**
 * A version together with its era. Values are ordered: later eras are newer, and
 * within an era higher versions are.
 */
export type StoreVersion = Branded<number, 'StoreVersion'>;

/** An era and a version in it, as the store states them. */
export interface StoreVersionParts {
  /** 0 for a store that doesn't count eras. */
  readonly era: number;
  readonly number: number;
}

/** Versions of one era. */
const NUMBERS_PER_ERA = 2 ** 40;

/** Versions of later eras aren't all exact integers. */
export const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / NUMBERS_PER_ERA);

/** Version of a row that doesn't exist, in whichever era. */
export const ABSENT = brandAs<StoreVersion>(0);

/**
 * @example
 * const version = composeStoreVersion({era: answer.era, number: row.row_version});
 */
export function composeStoreVersion(parts: StoreVersionParts): StoreVersion {
  return brandAs<StoreVersion>(parts.era * NUMBERS_PER_ERA + parts.number);
}

/**
 * @example
 * if (eraOf(row.version) > eraOf(known)) startOver();
 */
export function eraOf(version: StoreVersion): number {
  return Math.floor(version / NUMBERS_PER_ERA);
}

/**
 * The version as the store itself knows it.
 *
 * @example
 * query.set('since_revision', String(numberOf(since)));
 */
export function numberOf(version: StoreVersion): number {
  return version % NUMBERS_PER_ERA;
}

/**
 * Whether a version precedes another one; one of an older era always does.
 *
 * @example
 * if (isOlderVersion(reading.version, known)) return 'stale';
 */
export function isOlderVersion(
  version: StoreVersion,
  other: StoreVersion,
): boolean {
  return version < other;
}

/**
 * The later of two versions.
 *
 * @example
 * this.minVersion = latestVersion(this.minVersion, since);
 */
export function latestVersion(
  one: StoreVersion,
  other: StoreVersion,
): StoreVersion {
  return isOlderVersion(one, other) ? other : one;
}
