/** `snipestage status`: what one instance sees and does. */

import {injectFromBase, injectable} from 'inversify';
import type {z} from 'zod';
import {statusAnswer} from '../../admin/admin_answers.js';
import {formatTable} from '../../output/format_table.js';
import type {CommandDescription} from '../cli_command.js';
import {ReadingCommand} from '../reading_command.js';

const HEADINGS = ['member', 'data centre', 'state', 'revision'];

/** Prints what one instance sees. */
@injectable()
@injectFromBase()
export class Status extends ReadingCommand<typeof statusAnswer> {
  readonly description: CommandDescription = {
    name: 'status',
    summary: 'readiness, revision, members and roles of an instance',
    examples: ['status', 'status --admin-url http://10.0.0.1:8081 --json'],
  };
  protected readonly path = '/status';
  protected readonly schema = statusAnswer;

  protected format(answer: z.output<typeof statusAnswer>): string {
    const why = answer.reason === undefined ? '' : `: ${answer.reason}`;
    const roles = answer.roles.length === 0 ? 'none' : answer.roles.join(', ');
    const members = answer.members.map(member => [
      member.id,
      member.dataCentre,
      member.state,
      member.revision,
    ]);
    return [
      `instance  ${answer.instance}`,
      `ready     ${answer.ready ? 'yes' : `no${why}`}`,
      `revision  ${answer.revision}`,
      `roles     ${roles}`,
      '',
      formatTable(HEADINGS, members),
    ].join('\n');
  }
}
