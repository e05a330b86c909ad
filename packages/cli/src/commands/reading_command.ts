/** Base class of commands that read from an instance and print the answer. */

import {injectFromBase, injectable} from 'inversify';
import type {z} from 'zod';
import {readAnswer} from '../admin/admin_client.js';
import {EXIT_OK, type ExitCode} from '../exit_codes.js';
import {
  CliCommand,
  openAdminClient,
  type CommandContext,
} from './cli_command.js';

/** Reads from the first instance that answers. */
@injectable()
@injectFromBase()
export abstract class ReadingCommand<
  Schema extends z.ZodType,
> extends CliCommand {
  /** Path after `/admin/v1`. */
  protected abstract readonly path: string;
  protected abstract readonly schema: Schema;

  /** Formats the answer as text. */
  protected abstract format(answer: z.output<Schema>): string;

  protected async execute(context: CommandContext): Promise<ExitCode> {
    const reply = await openAdminClient(context).read({
      method: 'GET',
      path: this.path,
    });
    const answer = readAnswer(reply, this.schema);
    context.reporter.result(answer, this.format(answer));
    return EXIT_OK;
  }
}
