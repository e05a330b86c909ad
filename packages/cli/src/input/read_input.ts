/** Reads the input of commands: JSON files and the operator key. */

import {readFileSync} from 'node:fs';
import {InputError} from '@snipestage/errors/request_error.js';
import {CommandError} from '../command_error.js';
import {EXIT_USAGE} from '../exit_codes.js';
import {KEY_VARIABLE, type GlobalOptions} from '../options.js';
import type {Terminal} from '../terminal.js';

/** File name that stands for standard input. */
export const STANDARD_INPUT = '-';

/**
 * Reads a JSON document.
 *
 * @throws InputError when it can't be read or isn't JSON.
 * @example
 * const input = await readJson('ticket.json', terminal);
 */
export async function readJson(
  file: string,
  terminal: Terminal,
): Promise<unknown> {
  const content =
    file === STANDARD_INPUT ? await terminal.readInput() : readText(file);
  try {
    return JSON.parse(content);
  } catch (cause) {
    throw new InputError(`${nameOf(file)} is not JSON. Correct it first.`, {
      cause,
      faults: [{path: '', message: messageOf(cause)}],
    });
  }
}

/**
 * Reads the operator key from the given file, else from the environment.
 *
 * @throws CommandError when there is none, InputError when the file can't be
 *   read.
 * @example
 * const key = readOperatorKey(options, terminal);
 */
export function readOperatorKey(
  options: GlobalOptions,
  terminal: Terminal,
): string {
  const key =
    options.keyFile === undefined
      ? terminal.variable(KEY_VARIABLE)
      : readText(options.keyFile);
  if (key !== undefined && key.trim() !== '') return key.trim();
  throw new CommandError(
    `There is no operator key. Set ${KEY_VARIABLE}, or name a file with ` +
      'the key with --key-file.',
    {exitCode: EXIT_USAGE},
  );
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw new InputError(
      `${file} can't be read. Check its name and permissions.`,
      {
        cause,
        faults: [{path: '', message: messageOf(cause)}],
      },
    );
  }
}

function nameOf(file: string): string {
  return file === STANDARD_INPUT ? 'Standard input' : file;
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
