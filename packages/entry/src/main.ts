/** Starts the entry daemon. */

import {InputError} from '@snipestage/errors/request_error.js';
import {readEntrySettings} from '@snipestage/settings/read_settings.js';
import {Command} from 'commander';
import {EntryProcess} from './entry_process.js';

const EXIT_INTERNAL = 1;
const EXIT_INVALID_INPUT = 3;

const program = new Command('snipestage-entry')
  .description('Routes requests of callers to model engines and services.')
  .requiredOption('--settings <file>', 'JSON file with the settings')
  .addHelpText(
    'after',
    '\nExample:\n  $ snipestage-entry --settings /etc/snipestage/akl-a-1.json\n',
  )
  .action(run);

async function run(options: {readonly settings: string}): Promise<void> {
  const entry = new EntryProcess(readEntrySettings(options.settings));
  const stop = () => {
    // What is left then are sockets that nobody waits for.
    void entry.stop().then(() => process.exit(0));
  };
  // A supervisor may send it again while the instance finishes a long answer.
  // With the handler gone, Node.js would end at once and cut all that runs.
  process.on('SIGTERM', stop);
  // A person who presses Ctrl-C a second time doesn't want to wait.
  process.once('SIGINT', stop);
  await entry.start();
}

function explain(error: unknown): void {
  if (error instanceof InputError) {
    process.stderr.write(`${error.message}\n`);
    for (const fault of error.faults) {
      process.stderr.write(`  ${fault.path}: ${fault.message}\n`);
    }
    process.exit(EXIT_INVALID_INPUT);
  }
  const text = error instanceof Error ? error.stack : String(error);
  process.stderr.write(`${text}\n`);
  process.exit(EXIT_INTERNAL);
}

program.parseAsync().catch(explain);
