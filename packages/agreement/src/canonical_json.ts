/** JSON and digests that are equal for equal values, in any order of fields. */

import {createHash} from 'node:crypto';

/**
 * JSON with object fields sorted and undefined ones left out; follows RFC 8785
 * for the values that the protocols store.
 *
 * @example
 * canonicalJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_field, inner: unknown) => {
    if (inner === null || typeof inner !== 'object' || Array.isArray(inner)) {
      return inner;
    }
    const entries = Object.entries(inner);
    entries.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(entries);
  });
}

/**
 * SHA-256 of the canonical JSON, in hexadecimal.
 *
 * @example
 * digestOf({number: 7}) === digestOf({number: 7}); // true
 */
export function digestOf(value: unknown): string {
  return createHash('sha256').update(canonicalJson(value)).digest('hex');
}
