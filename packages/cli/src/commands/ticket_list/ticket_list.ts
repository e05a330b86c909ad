/** `snipestage ticket list`: lists the accepted tickets. */

import {injectFromBase, injectable} from 'inversify';
import type {z} from 'zod';
import {ticketsAnswer} from '../../admin/admin_answers.js';
import {formatTable} from '../../output/format_table.js';
import type {CommandDescription} from '../cli_command.js';
import {ReadingCommand} from '../reading_command.js';

const HEADINGS = ['number', 'author', 'reason', 'changes'];

/** Lists the accepted tickets. */
@injectable()
@injectFromBase()
export class TicketList extends ReadingCommand<typeof ticketsAnswer> {
  readonly description: CommandDescription = {
    group: 'ticket',
    name: 'list',
    summary: 'list the accepted tickets, newest first',
    examples: ['ticket list', 'ticket list --json'],
  };
  protected readonly path = '/tickets';
  protected readonly schema = ticketsAnswer;

  protected format(answer: z.output<typeof ticketsAnswer>): string {
    const rows = answer.tickets.map(ticket => [
      ticket.number,
      ticket.author,
      ticket.reason,
      ticket.changes
        .map(({kind, id, state}) => `${state === null ? '-' : ''}${kind}/${id}`)
        .join(' '),
    ]);
    return formatTable(HEADINGS, rows);
  }
}
