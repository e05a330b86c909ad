/** `snipestage dump`: the whole state of one instance. */

import {injectFromBase, injectable} from 'inversify';
import {z} from 'zod';
import type {CommandDescription} from '../cli_command.js';
import {ReadingCommand} from '../reading_command.js';

const dumpAnswer = z.looseObject({});

/** Prints the whole state of one instance. */
@injectable()
@injectFromBase()
export class Dump extends ReadingCommand<typeof dumpAnswer> {
  readonly description: CommandDescription = {
    name: 'dump',
    summary: 'the whole state of an instance, without secrets',
    examples: [
      'dump --admin-url http://10.0.0.1:8081',
      'dump --json | jq .cells',
    ],
  };
  protected readonly path = '/dump';
  protected readonly schema = dumpAnswer;

  protected format(state: z.output<typeof dumpAnswer>): string {
    return `${JSON.stringify(state, null, 2)}\n`;
  }
}
