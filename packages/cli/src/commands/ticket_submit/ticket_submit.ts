/** `snipestage ticket submit`: sends a change ticket. */

import {checkTicket} from '@snipestage/configuration/ticket_schema.js';
import type {ChangeTicket} from '@snipestage/types/configuration.js';
import type {Command} from 'commander';
import {injectFromBase, injectable} from 'inversify';
import {
  EXIT_OK,
  EXIT_REFUSED,
  EXIT_UNREACHABLE,
  type ExitCode,
} from '../../exit_codes.js';
import {readJson} from '../../input/read_input.js';
import {
  CliCommand,
  openAdminClient,
  reportFaults,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';
import {submitTicket, type SubmitOutcome} from './submit_ticket.js';

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
      'is\ntaken once. Nothing of a refused ticket takes effect.',
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
  return report(checked.ticket, outcome, context);
}

function report(
  {number}: ChangeTicket,
  outcome: SubmitOutcome,
  {reporter}: CommandContext,
): ExitCode {
  const fail = (exitCode: ExitCode, message: string): ExitCode => {
    reporter.error({message, exitCode, faults: []});
    return exitCode;
  };
  switch (outcome.kind) {
    case 'accepted':
    case 'already_accepted': {
      const already = outcome.kind === 'accepted' ? '' : 'had already been ';
      const at = `revision ${outcome.revision ?? '-'}`;
      const {kind, revision} = outcome;
      const text = `Ticket ${number} ${already}accepted, ${at}.\n`;
      reporter.result({outcome: kind, number, revision}, text);
      return EXIT_OK;
    }
    case 'conflict':
      return fail(
        EXIT_REFUSED,
        `Another ticket was accepted under number ${number}. Compare it ` +
          `(snipestage ticket show ${number}) and submit yours under a ` +
          'higher number if it is still wanted.',
      );
    case 'superseded':
      return fail(
        EXIT_REFUSED,
        `Ticket ${number} is superseded: ${outcome.path ?? 'an object'} was ` +
          `changed by ticket ${outcome.by ?? 'with a higher number'}. Read ` +
          'that one, and submit yours under a higher number if it is still ' +
          'wanted.',
      );
    case 'invalid':
      return reportFaults(
        reporter,
        'The ticket does not fit what is in force; nothing took effect.',
        outcome.faults,
      );
    case 'unknown':
      return fail(
        EXIT_UNREACHABLE,
        `Whether ticket ${number} was accepted is not known. Submit the same ` +
          'file again: it is taken once however often it is sent.' +
          listReasons(outcome.reasons),
      );
    case 'unavailable':
      return fail(
        EXIT_UNREACHABLE,
        `Ticket ${number} was not accepted: no instance could reach the ` +
          'platform, or none was reached. Nothing took effect; submit it ' +
          `again later.${listReasons(outcome.reasons)}`,
      );
  }
}

function listReasons(reasons: readonly string[]): string {
  return reasons.map(reason => `\n  ${reason}`).join('');
}
