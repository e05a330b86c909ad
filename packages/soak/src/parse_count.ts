/** Reads whole numbers from the command line. */

import {InvalidArgumentError} from 'commander';

/**
 * Reads a whole number of 0 or more.
 *
 * @throws InvalidArgumentError for anything else; `Number` would read `44b` as
 *   NaN and an empty text as 0, and a run with such a seed can't be repeated.
 * @example
 * parseCount('44606'); // 44606
 */
export function parseCount(text: string): number {
  const isCount = /^\d+$/.test(text) && Number.isSafeInteger(Number(text));
  if (!isCount) throw new InvalidArgumentError('It has to be a whole number.');
  return Number(text);
}
