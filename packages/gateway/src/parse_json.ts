/** Parses JSON from other processes. */

/**
 * @returns undefined when there are no bytes or they aren't valid JSON; logging
 *   that is left to the caller.
 * @example
 * const value = parseJson(row.data);
 */
export function parseJson(bytes: Buffer | undefined): unknown {
  if (bytes === undefined) return undefined;
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}
