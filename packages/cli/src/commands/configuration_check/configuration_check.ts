/** `snipestage configuration check`: reports what is wrong in a configuration. */

import {InputError} from '@snipestage/errors/request_error.js';
import {checkConfiguration} from '@snipestage/routing/configuration_check.js';
import {compareConfigurations} from '@snipestage/routing/configuration_difference.js';
import type {Command} from 'commander';
import {inject, injectable} from 'inversify';
import type {ExitCode} from '../../exit_codes.js';
import type {
  ConfigurationReader,
  ReadConfiguration,
} from '../../input/configuration_reader.js';
import {readJson} from '../../input/read_input.js';
import type {Terminal} from '../../terminal.js';
import {CONFIGURATION_READER, TERMINAL} from '../../tokens.js';
import {
  CliCommand,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';

const EXIT_CLEAN = 0;
const EXIT_FINDINGS = 1;
const EXIT_UNREADABLE = 2;

/** Checks a file in the platform's format; calls no instance. */
@injectable()
export class ConfigurationCheck extends CliCommand {
  readonly description: CommandDescription = {
    group: 'configuration',
    name: 'check',
    summary: 'report errors, unused entries and differences of a configuration',
    examples: ['configuration check next.json --against in-force.json'],
    notes:
      'Exit codes: 0 clean, 1 findings, 2 unreadable. Differences alone are ' +
      'no findings.',
  };

  constructor(
    @inject(TERMINAL) terminal: Terminal,
    @inject(CONFIGURATION_READER) private readonly reader: ConfigurationReader,
  ) {
    super(terminal);
  }

  protected override addArguments(command: Command): void {
    command
      .argument('<file>', 'JSON file with the configuration')
      .option('--against <file>', 'the configuration in force');
  }

  protected async execute(context: CommandContext): Promise<ExitCode> {
    const {args, command, reporter} = context;
    const {against} = command.opts<{against?: string}>();
    const files = against === undefined ? [args[0]] : [args[0], against];
    const read = await Promise.all(files.map(each => this.readFile(each)));
    const faults = read.flatMap((each, index) =>
      each.kind === 'read'
        ? []
        : each.faults.map(fault => ({file: files[index], ...fault})),
    );
    const [next, inForce] = read.flatMap(each =>
      each.kind === 'read' ? [each.configuration] : [],
    );
    if (faults.length > 0) {
      const lines = faults.map(
        ({file, path, message}) => `${file}: ${path}: ${message}\n`,
      );
      reporter.result({faults}, lines.join(''));
      return EXIT_UNREADABLE;
    }
    const findings = checkConfiguration(next);
    const differences = inForce ? compareConfigurations(inForce, next) : [];
    const lines = [
      ...findings.map(({path, message}) => `${path}: ${message}\n`),
      ...differences.map(
        ({path, before, after}) =>
          `${path}: ${toText(before)} becomes ${toText(after)}\n`,
      ),
    ];
    const text = lines.join('') || `${args[0]} is clean.\n`;
    reporter.result({findings, differences}, text);
    return findings.length > 0 ? EXIT_FINDINGS : EXIT_CLEAN;
  }

  private async readFile(file: string): Promise<ReadConfiguration> {
    try {
      return this.reader.read(await readJson(file, this.terminal));
    } catch (error) {
      if (!(error instanceof InputError)) throw error;
      return {kind: 'faulty', faults: error.faults};
    }
  }
}

function toText(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}
