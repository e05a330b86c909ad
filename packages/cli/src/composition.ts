/** Creates the commands with their dependencies. */

import 'reflect-metadata';
import {Container} from 'inversify';
import type {CliCommand} from './commands/cli_command.js';
import {ConfigurationCheck} from './commands/configuration_check/configuration_check.js';
import {Drain} from './commands/drain/drain.js';
import {Dump} from './commands/dump/dump.js';
import {Evacuate, Restore} from './commands/evacuation/evacuation.js';
import {KeysHash} from './commands/keys_hash/keys_hash.js';
import {SettingsCheck} from './commands/settings_check/settings_check.js';
import {Status} from './commands/status/status.js';
import {TicketList} from './commands/ticket_list/ticket_list.js';
import {TicketShow} from './commands/ticket_show/ticket_show.js';
import {TicketSubmit} from './commands/ticket_submit/ticket_submit.js';
import {TicketValidate} from './commands/ticket_validate/ticket_validate.js';
import {Usage} from './commands/usage/usage.js';
import type {ConfigurationReader} from './input/configuration_reader.js';
import type {Terminal} from './terminal.js';
import {COMMAND, CONFIGURATION_READER, TERMINAL} from './tokens.js';

/** In the order in which `--help` lists them. */
const COMMANDS = [
  TicketSubmit,
  TicketValidate,
  TicketShow,
  TicketList,
  Status,
  Dump,
  Usage,
  Drain,
  Evacuate,
  Restore,
  KeysHash,
  SettingsCheck,
];

/**
 * Creates all commands for a terminal.
 *
 * @param reader of the users' platform; without it no command needs its format.
 * @example
 * for (const command of assembleCommands(terminal)) command.addTo(program, finish);
 */
export function assembleCommands(
  terminal: Terminal,
  reader?: ConfigurationReader,
): CliCommand[] {
  const container = new Container();
  container.bind<Terminal>(TERMINAL).toConstantValue(terminal);
  for (const command of COMMANDS) {
    container.bind<CliCommand>(COMMAND).to(command);
  }
  if (reader !== undefined) {
    container.bind(CONFIGURATION_READER).toConstantValue(reader);
    container.bind<CliCommand>(COMMAND).to(ConfigurationCheck);
  }
  return container.getAll<CliCommand>(COMMAND);
}
