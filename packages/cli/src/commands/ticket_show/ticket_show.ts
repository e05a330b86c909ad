/** `snipestage ticket show`: prints one accepted ticket. */

import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import {ticketsAnswer} from '../../admin/admin_answers.js';
import {readAnswer} from '../../admin/admin_client.js';
import {CommandError} from '../../command_error.js';
import {
  EXIT_OK,
  EXIT_REFUSED,
  EXIT_USAGE,
  type ExitCode,
} from '../../exit_codes.js';
import {
  CliCommand,
  openAdminClient,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';

/** Prints one accepted ticket. */
@injectable()
@injectFromBase()
export class TicketShow extends CliCommand {
  readonly description: CommandDescription = {
    group: 'ticket',
    name: 'show',
    summary: 'print an accepted ticket as it was submitted',
    examples: ['ticket show 12', 'ticket show 12 --json > ticket_12.json'],
  };

  protected override addArguments(command: Command): void {
    command.argument('<number>', 'number of the ticket');
  }

  protected execute(context: CommandContext): Promise<ExitCode> {
    return show(context.args[0], context);
  }
}

async function show(
  number: string,
  context: CommandContext,
): Promise<ExitCode> {
  if (!/^[1-9]\d*$/.test(number)) {
    throw new CommandError(`${number} is no ticket number; use 1 or more.`, {
      exitCode: EXIT_USAGE,
    });
  }
  const reply = await openAdminClient(context).read({
    method: 'GET',
    path: `/tickets/${number}`,
  });
  if (reply.status === 404) {
    throw new CommandError(
      `No ticket ${number} was accepted. snipestage ticket list shows those ` +
        'that were.',
      {exitCode: EXIT_REFUSED},
    );
  }
  const [ticket] = readAnswer(reply, ticketsAnswer).tickets;
  context.reporter.result(ticket, `${JSON.stringify(ticket, null, 2)}\n`);
  return EXIT_OK;
}
