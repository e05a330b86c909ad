/** `snipestage evacuate` and `restore`: evacuate and restore a data centre. */

import {checkTicket} from '@snipestage/configuration/ticket_schema.js';
import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import {ticketsAnswer} from '../../admin/admin_answers.js';
import {readAnswer, type AdminClient} from '../../admin/admin_client.js';
import {CommandError} from '../../command_error.js';
import {EXIT_OK, EXIT_REFUSED, type ExitCode} from '../../exit_codes.js';
import {
  CliCommand,
  openAdminClient,
  reportFaults,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';
import {reportOutcome} from '../ticket_submit/report_outcome.js';
import {submitTicket} from '../ticket_submit/submit_ticket.js';
import {planEvacuation} from './plan_evacuation.js';

/** Submits a ticket that changes whether a data centre is evacuated. */
@injectable()
@injectFromBase()
abstract class EvacuationCommand extends CliCommand {
  protected abstract readonly evacuated: boolean;

  protected override addArguments(command: Command): void {
    command
      .argument('<data-centre>', 'id of the data centre')
      .option('--author <name>', 'author of the ticket', 'snipestage')
      .option('--reason <text>', 'reason of the ticket');
  }

  protected async execute(context: CommandContext): Promise<ExitCode> {
    const client = openAdminClient(context);
    const call = {method: 'GET', path: '/tickets'} as const;
    const {tickets} = readAnswer(await client.read(call), ticketsAnswer);
    const [dataCentre] = context.args;
    const {evacuated} = this;
    const {author, reason} = context.command.opts<{
      readonly author: string;
      readonly reason?: string;
    }>();
    const plan = planEvacuation({
      tickets,
      dataCentre,
      evacuated,
      author,
      reason: reason ?? this.description.summary,
    });
    switch (plan.kind) {
      case 'unknown':
        throw new CommandError(
          `No data centre ${dataCentre} is configured. snipestage ticket list ` +
            'shows the tickets that configure them.',
          {exitCode: EXIT_REFUSED},
        );
      case 'unchanged':
        context.reporter.result(
          {outcome: 'unchanged', dataCentre, evacuated},
          `${dataCentre} is ${evacuated ? '' : 'not '}evacuated already.\n`,
        );
        return EXIT_OK;
      case 'ticket':
        return submit(plan.ticket, client, context);
    }
  }
}

async function submit(
  ticket: object,
  client: AdminClient,
  context: CommandContext,
): Promise<ExitCode> {
  const checked = checkTicket(ticket);
  if ('faults' in checked) {
    const message = 'The ticket has faults; nothing was sent.';
    return reportFaults(context.reporter, message, checked.faults);
  }
  const outcome = await submitTicket(checked.ticket, {
    client,
    sleep: delayMs => context.terminal.sleep(delayMs),
    onProgress: text => context.reporter.progress(text),
  });
  return reportOutcome(checked.ticket, outcome, context);
}

/** Stops new requests to the data centre's endpoints. */
@injectable()
@injectFromBase()
export class Evacuate extends EvacuationCommand {
  protected readonly evacuated = true;
  readonly description: CommandDescription = {
    name: 'evacuate',
    summary: 'send no new requests to the endpoints of a data centre',
    examples: ['evacuate akl-a --author mere --reason "power maintenance"'],
    notes:
      'Running requests are finished. Its entry instances go on serving callers ' +
      'from\nother data centres; with all evacuated, callers are refused.',
  };
}

/** Allows requests to the data centre's endpoints again. */
@injectable()
@injectFromBase()
export class Restore extends EvacuationCommand {
  protected readonly evacuated = false;
  readonly description: CommandDescription = {
    name: 'restore',
    summary: 'take an evacuated data centre back into service',
    examples: ['restore akl-a --author mere'],
  };
}
