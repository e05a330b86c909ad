/** A process that logs far more than its reader takes, for tests. */

import {BoundedOutput} from '../bounded_output.js';

const ROUNDS = 40;
const LINES_A_ROUND = 500;
const LINE = `${'x'.repeat(200)}\n`;

const output = new BoundedOutput({maxLinesPerS: 1e9, maxBufferedBytes: 65_536});
let rounds = 0;

function writeRound(): void {
  for (let index = 0; index < LINES_A_ROUND; index++) output.write(LINE);
  rounds += 1;
  if (rounds < ROUNDS) setTimeout(writeRound, 1);
  else process.send?.({dropped: output.dropped, rounds});
}

process.once('message', () => process.exit(0));
writeRound();
