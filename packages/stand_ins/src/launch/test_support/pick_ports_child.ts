/**
 * Picks as many ports as the first argument says, prints them as a JSON line
 * and runs until it is killed. The optional further arguments are the lowest
 * port, the number of blocks and the ports per block.
 */

import {PortPicker} from '../free_ports.js';

const [count, lowestPort, blocks, portsPerBlock] = process.argv
  .slice(2)
  .map(Number);

const picker = new PortPicker({lowestPort, blocks, portsPerBlock});
const ports = await picker.pick(count);
process.stdout.write(`${JSON.stringify({ports})}\n`);
setInterval(() => undefined, 60_000);
