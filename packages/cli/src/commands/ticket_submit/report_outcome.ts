/** Reports the outcome of a ticket to the operator. */

import type {ChangeTicket} from '@snipestage/types/configuration.js';
import {
  EXIT_OK,
  EXIT_REFUSED,
  EXIT_UNREACHABLE,
  type ExitCode,
} from '../../exit_codes.js';
import {reportFaults, type CommandContext} from '../cli_command.js';
import type {SubmitOutcome} from './submit_ticket.js';

/**
 * Prints the outcome of submitting a ticket, and what to do next.
 *
 * @example
 * return reportOutcome(ticket, outcome, context);
 */
export function reportOutcome(
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
        'The ticket does not fit the configuration in force; nothing took effect.',
        outcome.faults,
      );
    case 'unknown':
      return fail(
        EXIT_UNREACHABLE,
        `Whether ticket ${number} was accepted is not known. Submit the same ` +
          'file again: it takes effect once, however often it is sent.' +
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
