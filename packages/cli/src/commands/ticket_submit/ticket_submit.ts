/** `snipestage ticket submit`: sends a change ticket. */

import {checkTicket} from '@snipestage/configuration/ticket_schema.js';
import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import type {ExitCode} from '../../exit_codes.js';
import {readJson} from '../../input/read_input.js';
import {
  CliCommand,
  openAdminClient,
  reportFaults,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';
import {reportOutcome} from './report_outcome.js';
import {submitTicket} from './submit_ticket.js';

/** Submits a ticket and waits for its outcome. */
@injectable()
@injectFromBase()
export class TicketSubmit extends CliCommand {
  readonly description: CommandDescription = {
    group: 'ticket',
    name: 'submit',
    summary: 'submit a change ticket and wait for its outcome',
    examples: [
      'ticket submit first_classes.json',
      'ticket submit - < first_classes.json',
      'ticket submit move.json --admin-url http://10.0.0.1:8081 \\\n' +
        '    --admin-url http://10.1.0.1:8081',
    ],
    notes:
      'A ticket is safe to send again: the same number with the same content ' +
      'is\napplied once. Nothing of a refused ticket takes effect.',
  };

  protected override addArguments(command: Command): void {
    command.argument(
      '<file>',
      'JSON file with the ticket, or - for standard input',
    );
  }

  protected execute(context: CommandContext): Promise<ExitCode> {
    return submit(context.args[0], context);
  }
}

async function submit(
  file: string,
  context: CommandContext,
): Promise<ExitCode> {
  const checked = checkTicket(await readJson(file, context.terminal));
  if ('faults' in checked) {
    const message = 'The ticket has faults; nothing was sent.';
    return reportFaults(context.reporter, message, checked.faults);
  }
  const outcome = await submitTicket(checked.ticket, {
    client: openAdminClient(context),
    sleep: delayMs => context.terminal.sleep(delayMs),
    onProgress: text => context.reporter.progress(text),
  });
  return reportOutcome(checked.ticket, outcome, context);
}
