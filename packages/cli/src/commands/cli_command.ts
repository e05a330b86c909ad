/** Base class of all commands. */

import {InputError, type Fault} from '@snipestage/errors/request_error.js';
import type {Command} from 'commander';
import {inject, injectable} from 'inversify';
import {AdminClient} from '../admin/admin_client.js';
import {CommandError} from '../command_error.js';
import {
  EXIT_INTERNAL,
  EXIT_INVALID_INPUT,
  type ExitCode,
} from '../exit_codes.js';
import {readOperatorKey} from '../input/read_input.js';
import {readGlobalOptions, type GlobalOptions} from '../options.js';
import {JsonReporter, TextReporter, type Reporter} from '../output/reporter.js';
import type {Terminal} from '../terminal.js';
import {TERMINAL} from '../tokens.js';

/** Command groups, by the word that precedes the command's name. */
const GROUPS = {
  ticket: 'change the configuration by numbered tickets',
  keys: 'keys of client accounts and operators',
  configuration: 'configuration of the pass-through gateway',
  settings: 'settings of snipestage-entry',
} as const;

/** Context of one run of a command. */
export interface CommandContext {
  readonly options: GlobalOptions;
  readonly reporter: Reporter;
  readonly terminal: Terminal;
  /** The parsed command, with the values of its own options. */
  readonly command: Command;
  /** The arguments in the given order. */
  readonly args: readonly string[];
}

/** Name and help texts of a command. */
export interface CommandDescription {
  readonly group?: keyof typeof GROUPS;
  readonly name: string;
  readonly summary: string;
  /** Command lines without the name of the program. */
  readonly examples: readonly string[];
  readonly notes?: string;
}

/** Passes the exit code to the program. */
export type Finish = (exitCode: ExitCode) => void;

/** One command: adds itself to the program and runs when chosen. */
@injectable()
export abstract class CliCommand {
  abstract readonly description: CommandDescription;

  constructor(@inject(TERMINAL) protected readonly terminal: Terminal) {}

  addTo(program: Command, finish: Finish): void {
    const {group, name, summary, examples, notes} = this.description;
    const parent = group === undefined ? program : groupOf(program, group);
    const lines = examples.map(example => `\n  snipestage ${example}`);
    const help = `\nExamples:${lines.join('')}${notes ? `\n\n${notes}` : ''}`;
    const command = parent.command(name).description(summary);
    this.addArguments?.(command);
    command.addHelpText('after', help).action(() => this.run(command, finish));
  }

  /** Adds arguments and options of its own. */
  protected addArguments?(command: Command): void;

  /** Runs the command; errors that it throws are printed. */
  protected abstract execute(context: CommandContext): Promise<ExitCode>;

  private async run(command: Command, finish: Finish): Promise<void> {
    const options = readGlobalOptions(command);
    const {terminal} = this;
    const {args} = command;
    const reporter = options.json
      ? new JsonReporter(terminal)
      : new TextReporter(terminal);
    try {
      finish(await this.execute({options, reporter, terminal, command, args}));
    } catch (error) {
      finish(reportError(error, reporter));
    }
  }
}

/**
 * Creates a client for the addresses and the key of the command line.
 *
 * @throws CommandError when there is no key or an address is wrong.
 *
 * @example
 * const reply = await openAdminClient(context).read(call);
 */
export function openAdminClient(context: CommandContext): AdminClient {
  return new AdminClient({
    urls: context.options.adminUrl,
    operatorKey: readOperatorKey(context.options, context.terminal),
  });
}

/**
 * Prints the faults of an input of which nothing took effect.
 *
 * @example
 * return reportFaults(reporter, 'The ticket has faults.', faults);
 */
export function reportFaults(
  reporter: Reporter,
  message: string,
  faults: readonly Fault[],
): ExitCode {
  reporter.error({message, exitCode: EXIT_INVALID_INPUT, faults});
  return EXIT_INVALID_INPUT;
}

function groupOf(program: Command, name: keyof typeof GROUPS): Command {
  const existing = program.commands.find(command => command.name() === name);
  return existing ?? program.command(name).description(GROUPS[name]);
}

function reportError(error: unknown, reporter: Reporter): ExitCode {
  if (error instanceof InputError) {
    return reportFaults(reporter, error.message, error.faults);
  }
  const exitCode =
    error instanceof CommandError ? error.exitCode : EXIT_INTERNAL;
  const message = error instanceof Error ? error.message : String(error);
  const text =
    exitCode === EXIT_INTERNAL
      ? `Internal error: ${message}. Please report it with the command line.`
      : message;
  reporter.error({message: text, exitCode, faults: []});
  return exitCode;
}
