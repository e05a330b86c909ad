/** Options of every command. */

import type {Command} from 'commander';

/** Address of the instance to call when none is given. */
export const DEFAULT_ADMIN_URL = 'http://127.0.0.1:8081';
/** Environment variable with the operator key. */
export const KEY_VARIABLE = 'SNIPESTAGE_OPERATOR_KEY';

/** The values of these options. */
export interface GlobalOptions {
  readonly json: boolean;
  /** Addresses of instances, in the order in which they are tried. */
  readonly adminUrl: readonly string[];
  readonly keyFile?: string;
}

/**
 * Adds the options to the root of the program.
 *
 * @example
 * addGlobalOptions(new Command('snipestage'));
 */
export function addGlobalOptions(program: Command): Command {
  return program
    .option('--json', 'print JSON, for scripts', false)
    .option(
      '--admin-url <url>',
      'administration address of an instance; repeat it to name others, ' +
        `tried in turn (default: ${DEFAULT_ADMIN_URL})`,
      collect,
    )
    .option(
      '--key-file <file>',
      `file with the operator key (default: the variable ${KEY_VARIABLE})`,
    );
}

/**
 * Reads the options given to a command or any of its parents.
 *
 * @example
 * const {json, adminUrl} = readGlobalOptions(command);
 */
export function readGlobalOptions(command: Command): GlobalOptions {
  const given = command.optsWithGlobals<Partial<GlobalOptions>>();
  return {
    json: given.json ?? false,
    adminUrl: given.adminUrl ?? [DEFAULT_ADMIN_URL],
    keyFile: given.keyFile,
  };
}

function collect(value: string, earlier: string[] = []): string[] {
  return [...earlier, value];
}
