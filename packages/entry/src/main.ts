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
    // Only sockets that nobody waits for are left then.
    void entry.stop().then(() => process.exit(0));
  };
  // A supervisor may repeat the signal while the instance finishes a long
  // answer. Without a handler Node.js would exit at once and cut off all
  // running requests.
  process.on('SIGTERM', stop);
  // Pressing Ctrl-C a second time ends the process without waiting.
  process.once('SIGINT', stop);
  await entry.start();
}

function exitWithError(error: unknown): void {
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

program.parseAsync().catch(exitWithError);
