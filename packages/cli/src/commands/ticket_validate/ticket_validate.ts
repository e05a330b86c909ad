/** `snipestage ticket validate`: checks a ticket without submitting it. */

import {checkTicket} from '@snipestage/configuration/ticket_schema.js';
import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import {validateAnswer} from '../../admin/admin_answers.js';
import {readAnswer} from '../../admin/admin_client.js';
import {EXIT_OK, type ExitCode} from '../../exit_codes.js';
import {readJson} from '../../input/read_input.js';
import {
  CliCommand,
  openAdminClient,
  reportFaults,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';

/** Reports the faults of a ticket. */
@injectable()
@injectFromBase()
export class TicketValidate extends CliCommand {
  readonly description: CommandDescription = {
    group: 'ticket',
    name: 'validate',
    summary: 'report all faults of a ticket; nothing takes effect',
    examples: [
      'ticket validate first_classes.json',
      'ticket validate first_classes.json --offline',
    ],
  };

  protected override addArguments(command: Command): void {
    command
      .argument('<file>', 'JSON file with the ticket, or - for standard input')
      .option(
        '--offline',
        'check the file alone, not what it refers to',
        false,
      );
  }

  protected execute(context: CommandContext): Promise<ExitCode> {
    return validate(context.args[0], context);
  }
}

async function validate(
  file: string,
  context: CommandContext,
): Promise<ExitCode> {
  const {reporter} = context;
  const {offline} = context.command.opts<{offline: boolean}>();
  const checked = checkTicket(await readJson(file, context.terminal));
  if ('faults' in checked) {
    return reportFaults(reporter, 'The ticket has faults.', checked.faults);
  }
  if (!offline) {
    const reply = await openAdminClient(context).read({
      method: 'POST',
      path: '/tickets/validate',
      body: checked.ticket,
    });
    const {faults} = readAnswer(reply, validateAnswer);
    const message = 'The ticket does not fit the configuration in force.';
    if (faults.length > 0) return reportFaults(reporter, message, faults);
  }
  const against = offline ? 'by itself' : 'against the configuration in force';
  const text = `Ticket ${checked.ticket.number} is valid, checked ${against}.\n`;
  reporter.result({faults: []}, text);
  return EXIT_OK;
}
