/** Reads settings from a file and tells all their faults together. */

import {readFileSync} from 'node:fs';
import {InputError, type Fault} from '@snipestage/errors/request_error.js';
import type {z} from 'zod';
import {entrySettingsSchema, type EntrySettings} from './entry_settings.js';

/**
 * Checks parsed settings.
 *
 * @throws InputError with a fault for each field that is wrong.
 * @example
 * const settings = checkEntrySettings(JSON.parse(text));
 */
export function checkEntrySettings(input: unknown): EntrySettings {
  const result = entrySettingsSchema.safeParse(input);
  if (!result.success) {
    throw new InputError('The settings are not valid.', {
      faults: result.error.issues.flatMap(faultsOf),
    });
  }
  return result.data as unknown as EntrySettings;
}

/**
 * Reads and checks a settings file.
 *
 * @throws InputError when the file can't be read, is no JSON or is not valid.
 * @example
 * const settings = readEntrySettings('/etc/snipestage/entry.json');
 */
export function readEntrySettings(file: string): EntrySettings {
  let parsed: unknown;
  try {
    parsed = JSON.parse(readFileSync(file, 'utf8'));
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw new InputError(`The settings file ${file} can't be read.`, {
      cause,
      faults: [{path: '', message}],
    });
  }
  return checkEntrySettings(parsed);
}

function faultsOf(issue: z.core.$ZodIssue): Fault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      path: pathOf([...issue.path, key]),
      message: 'is not a known setting',
    }));
  }
  return [{path: pathOf(issue.path), message: issue.message}];
}

/** `['changes', 2, 'tier']` reads `changes[2].tier`. */
export function pathOf(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}
