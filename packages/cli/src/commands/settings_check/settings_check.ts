/** `snipestage settings check`: reports the faults of a settings file. */

import {readEntrySettings} from '@snipestage/settings/read_settings.js';
import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import {EXIT_OK, type ExitCode} from '../../exit_codes.js';
import {
  CliCommand,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';

/** Checks a settings file; calls no instance. */
@injectable()
@injectFromBase()
export class SettingsCheck extends CliCommand {
  readonly description: CommandDescription = {
    group: 'settings',
    name: 'check',
    summary: 'report all faults of a settings file',
    examples: ['settings check /etc/snipestage/entry.json'],
  };

  protected override addArguments(command: Command): void {
    command.argument('<file>', 'JSON file with the settings');
  }

  protected execute(context: CommandContext): Promise<ExitCode> {
    return check(context.args[0], context);
  }
}

async function check(
  file: string,
  {reporter}: CommandContext,
): Promise<ExitCode> {
  const settings = readEntrySettings(file);
  const {instance, dataCentre} = settings;
  const text = `${file} is valid: instance ${instance} of ${dataCentre}.\n`;
  reporter.result({faults: [], instance, dataCentre}, text);
  return EXIT_OK;
}
