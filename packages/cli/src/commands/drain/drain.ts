/** `snipestage drain`: shuts one instance down gracefully. */

import {injectFromBase, injectable} from 'inversify';
import {
  describeStatus,
  throwIfKeyRefused,
  unreachableError,
} from '../../admin/admin_client.js';
import {CommandError} from '../../command_error.js';
import {
  EXIT_OK,
  EXIT_UNREACHABLE,
  EXIT_USAGE,
  type ExitCode,
} from '../../exit_codes.js';
import {
  CliCommand,
  openAdminClient,
  type CommandContext,
  type CommandDescription,
} from '../cli_command.js';

/** Shuts down the instance at the given address. */
@injectable()
@injectFromBase()
export class Drain extends CliCommand {
  readonly description: CommandDescription = {
    name: 'drain',
    summary: 'shut one instance down; running requests are finished first',
    examples: ['drain --admin-url http://10.0.0.1:8081'],
  };

  protected execute(context: CommandContext): Promise<ExitCode> {
    return drain(context);
  }
}

async function drain(context: CommandContext): Promise<ExitCode> {
  const client = openAdminClient(context);
  // With several addresses, a healthy instance could be drained in place of one
  // that does not answer.
  if (client.urls.length !== 1) {
    throw new CommandError('Name exactly one instance by --admin-url.', {
      exitCode: EXIT_USAGE,
    });
  }
  const [url] = client.urls;
  const reply = await client.ask(url, {method: 'POST', path: '/drain'});
  if (reply.kind !== 'answered') {
    throw unreachableError([`${url}: ${reply.reason}`]);
  }
  throwIfKeyRefused(reply);
  if (reply.status >= 300) {
    throw new CommandError(
      `${url} did not begin to drain (${describeStatus(reply)}). Look at ` +
        'snipestage status before trying again.',
      {exitCode: EXIT_UNREACHABLE},
    );
  }
  const text = `${url} is draining; snipestage status shows when it is gone.\n`;
  context.reporter.result({outcome: 'draining', url}, text);
  return EXIT_OK;
}
