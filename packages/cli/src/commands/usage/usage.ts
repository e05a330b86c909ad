/** `snipestage usage`: the usage windows and their figures. */

import {injectFromBase, injectable} from 'inversify';
import type {z} from 'zod';
import {usageAnswer} from '../../admin/admin_answers.js';
import {formatTable} from '../../output/format_table.js';
import type {CommandDescription} from '../cli_command.js';
import {ReadingCommand} from '../reading_command.js';

type UsageAnswer = z.output<typeof usageAnswer>;

const HEADINGS = [
  'window from',
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

  protected format(answer: UsageAnswer): string {
    const {counters, sealed} = answer;
    const open = counters.windows.flatMap(window => rowsOf(window, 'open'));
    if (sealed.kind === 'unavailable') {
      const why = `Sealed windows can't be read now: ${sealed.reason}\n`;
      return formatTable(HEADINGS, open) + why;
    }
    const closed = sealed.windows.flatMap(window =>
      rowsOf(window, window.reported === true ? 'reported' : 'sealed'),
    );
    return formatTable(HEADINGS, [...open, ...closed]);
  }
}

function rowsOf(
  {window, lines}: UsageAnswer['counters']['windows'][number],
  state: 'open' | 'sealed' | 'reported',
): Array<Array<string | number>> {
  const start = new Date(Number(window)).toISOString();
  return lines.map(line => [
    start,
    state,
    line.clientAccount,
    line.requestClass,
    line.requests,
    line.promptTokens,
    line.outputTokens,
  ]);
}
