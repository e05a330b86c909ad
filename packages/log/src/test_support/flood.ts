/** Test process that logs far more than its reader consumes. */

import {BoundedOutput} from '../bounded_output.js';

const ROUND_COUNT = 40;
const LINES_PER_ROUND = 500;
const LINE = `${'x'.repeat(200)}\n`;

const output = new BoundedOutput({maxLinesPerS: 1e9, maxBufferedBytes: 65_536});
let rounds = 0;

function writeRound(): void {
  for (let index = 0; index < LINES_PER_ROUND; index++) output.write(LINE);
  rounds += 1;
  if (rounds < ROUND_COUNT) setTimeout(writeRound, 1);
  else process.send?.({dropped: output.dropped, rounds});
}

process.once('message', () => process.exit(0));
writeRound();
