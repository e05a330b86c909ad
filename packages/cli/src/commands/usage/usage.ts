/** `snipestage usage`: the usage windows and their figures. */

import {injectFromBase, injectable} from 'inversify';
import type {z} from 'zod';
import {usageAnswer} from '../../admin/admin_answers.js';
import {formatTable} from '../../output/format_table.js';
import type {CommandDescription} from '../cli_command.js';
import {ReadingCommand} from '../reading_command.js';

const HEADINGS = [
  'window',
  'state',
  'client account',
  'class',
  'requests',
  'prompt tokens',
  'output tokens',
];

/** Prints the usage windows. */
@injectable()
@injectFromBase()
export class Usage extends ReadingCommand<typeof usageAnswer> {
  readonly description: CommandDescription = {
    name: 'usage',
    summary: 'usage windows: open, sealed and reported',
    examples: ['usage', 'usage --json'],
  };
  protected readonly path = '/usage';
  protected readonly schema = usageAnswer;

  protected format(answer: z.output<typeof usageAnswer>): string {
    const open = {id: '-', state: 'open', lines: answer.open};
    const rows = [open, ...answer.windows].flatMap(window =>
      window.lines.map(line => [
        window.id,
        window.state,
        line.clientAccount,
        line.requestClass,
        line.requests,
        line.promptTokens,
        line.outputTokens,
      ]),
    );
    return formatTable(HEADINGS, rows);
  }
}
