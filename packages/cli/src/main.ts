/** The `snipestage` command. */

import {Command, CommanderError} from 'commander';
import {assembleCommands} from './composition.js';
import {
  EXIT_CODE_MEANINGS,
  EXIT_INTERNAL,
  EXIT_OK,
  EXIT_USAGE,
  type ExitCode,
} from './exit_codes.js';
import type {ConfigurationReader} from './input/configuration_reader.js';
import {addGlobalOptions} from './options.js';
import {ProcessTerminal, type Terminal} from './terminal.js';

/**
 * Runs one command line.
 *
 * @param args without the names of the runtime and the program.
 * @param reader of the platform's configuration; see {@link assembleCommands}.
 * @returns the exit code.
 * @example
 * process.exitCode = await runCommandLine(['status', '--json']);
 */
export async function runCommandLine(
  args: readonly string[],
  terminal: Terminal = new ProcessTerminal(),
  reader?: ConfigurationReader,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_INTERNAL;
  const finish = (code: ExitCode): void => {
    exitCode = code;
  };
  const program = assembleProgram(terminal, finish, reader);
  try {
    await program.parseAsync([...args], {from: 'user'});
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    // Commander also throws after printing requested help, with exit code 0.
    return error.exitCode === 0 ? EXIT_OK : EXIT_USAGE;
  }
  return exitCode;
}

function assembleProgram(
  terminal: Terminal,
  finish: (exitCode: ExitCode) => void,
  reader: ConfigurationReader | undefined,
): Command {
  const program = addGlobalOptions(new Command('snipestage'))
    .description('operate a snipestage router')
    .configureOutput({
      writeOut: text => terminal.writeOut(text),
      writeErr: text => terminal.writeError(text),
    })
    .showHelpAfterError('(use --help to show the usage)')
    .exitOverride()
    .addHelpText('after', describeExitCodes());
  for (const command of assembleCommands(terminal, reader)) {
    command.addTo(program, finish);
  }
  return program;
}

function describeExitCodes(): string {
  const lines = Object.entries(EXIT_CODE_MEANINGS).map(
    ([code, meaning]) => `  ${code}  ${meaning}`,
  );
  return `\nExit codes:\n${lines.join('\n')}`;
}
