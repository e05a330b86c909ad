/** `snipestage status`: readiness, revision, members and roles. */

import {injectFromBase, injectable} from 'inversify';
import type {z} from 'zod';
import {statusAnswer} from '../../admin/admin_answers.js';
import {formatTable} from '../../output/format_table.js';
import type {CommandDescription} from '../cli_command.js';
import {ReadingCommand} from '../reading_command.js';

const HEADINGS = ['member', 'data centre', 'state', 'revision'];

/** Prints the status of one instance. */
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
    const {instance, ready, reason, revision, roles, members} = answer;
    const why = reason === undefined ? '' : `: ${reason}`;
    const lines = [
      `instance  ${instance}`,
      `ready     ${ready ? 'yes' : `no${why}`}`,
      `revision  ${revision}`,
    ];
    if (roles !== undefined) {
      lines.push(`roles     ${roles.length === 0 ? 'none' : roles.join(', ')}`);
    }
    if (members !== undefined) lines.push('', formatMembers(members));
    return `${lines.join('\n').trimEnd()}\n`;
  }
}

function formatMembers(
  members: NonNullable<z.output<typeof statusAnswer>['members']>,
): string {
  const rows = members.map(member => [
    member.id,
    member.dataCentre,
    member.state,
    member.revision,
  ]);
  return formatTable(HEADINGS, rows);
}
