/** Reads settings from a file and reports all their faults together. */

import {readFileSync} from 'node:fs';
import {InputError} from '@snipestage/errors/request_error.js';
import {toFaults} from '@snipestage/errors/schema_faults.js';
import {entrySettingsSchema, type EntrySettings} from './entry_settings.js';

/**
 * Checks parsed settings.
 *
 * @throws InputError with a fault for each invalid field.
 * @example
 * const settings = checkEntrySettings(JSON.parse(text));
 */
export function checkEntrySettings(input: unknown): EntrySettings {
  const result = entrySettingsSchema.safeParse(input);
  if (!result.success) {
    throw new InputError('The settings are not valid.', {
      faults: toFaults(result.error.issues),
    });
  }
  return result.data as unknown as EntrySettings;
}

/**
 * Reads and checks a settings file.
 *
 * @throws InputError when the file can't be read, is not JSON or is not valid.
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
