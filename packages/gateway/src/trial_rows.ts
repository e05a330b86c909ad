/** Rows that count the trials of suspect parts of prompts. */

import type {TrialCount} from '@snipestage/policy/part_trials.js';
import {brandAs, type PromptPartId} from '@snipestage/types/ids.js';
import type {StoreVersion} from '@snipestage/types/store_version.js';
import type {RowWrite} from '@snipestage/types/table.js';
import {readCount} from './row_schemas.js';

const SHARED = 'shared/';
const TRIAL = 'trial/';

/** Value of a row. */
interface TrialValue {
  readonly count: number;
}

/**
 * @example
 * await platform.transact({checks, writes: [composeTrialRow(part, 1)]});
 */
export function composeTrialRow(part: PromptPartId, count: number): RowWrite {
  const value: TrialValue = {count};
  const name = Buffer.from(part).toString('base64url');
  return {key: `${SHARED}${TRIAL}${name}`, value};
}

/**
 * @param key with or without the name of the table of shared facts.
 * @returns undefined for other rows and malformed ones.
 * @example
 * const count = decodeTrialRow(row.key, parseJson(row.data), row.version);
 */
export function decodeTrialRow(
  key: string,
  value: unknown,
  rowVersion: StoreVersion,
): TrialCount | undefined {
  const name = key.startsWith(SHARED) ? key.slice(SHARED.length) : key;
  if (!name.startsWith(TRIAL)) return undefined;
  const count = readCount((value as TrialValue | null | undefined)?.count);
  if (count === undefined) return undefined;
  const part = Buffer.from(name.slice(TRIAL.length), 'base64url').toString();
  return {part: brandAs<PromptPartId>(part), count, rowVersion};
}
