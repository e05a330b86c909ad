/** `snipestage keys hash`: the hash of a key for tickets and settings. */

import {generateKey, hashKey} from '@snipestage/configuration/key_hash.js';
import {InputError} from '@snipestage/errors/request_error.js';
import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import {EXIT_OK, type ExitCode} from '../../exit_codes.js';
import {
  CliCommand,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';

/** Hashes are unsalted, which is safe only for long random keys. */
const MIN_KEY_LENGTH = 24;

/** Hashes or generates a key; calls no instance. */
@injectable()
@injectFromBase()
export class KeysHash extends CliCommand {
  readonly description: CommandDescription = {
    group: 'keys',
    name: 'hash',
    summary: 'print the hash of a key read from standard input',
    examples: ['keys hash --generate', 'keys hash < key.txt'],
  };

  protected override addArguments(command: Command): void {
    command.option(
      '--generate',
      'generate a new key and print it as well',
      false,
    );
  }

  protected execute(context: CommandContext): Promise<ExitCode> {
    return hash(context);
  }
}

async function hash(context: CommandContext): Promise<ExitCode> {
  const {reporter, terminal} = context;
  if (context.command.opts<{generate: boolean}>().generate) {
    const key = generateKey();
    const keyHash = hashKey(key);
    reporter.result({key, keyHash}, `key   ${key}\nhash  ${keyHash}\n`);
    return EXIT_OK;
  }
  const keyHash = hashKey(checkKey(await terminal.readInput()));
  reporter.result({keyHash}, `${keyHash}\n`);
  return EXIT_OK;
}

function checkKey(input: string): string {
  const key = input.trim();
  if (key.length >= MIN_KEY_LENGTH && !/\s/.test(key)) return key;
  throw new InputError(
    'This key is not safe to use. Generate one with `keys hash --generate`.',
    {
      faults: [
        {
          path: '',
          message: `a key has at least ${MIN_KEY_LENGTH} characters and no spaces`,
        },
      ],
    },
  );
}
