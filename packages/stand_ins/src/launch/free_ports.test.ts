import {createServer} from 'node:net';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {listenOn} from '../http/listen.js';
import {pickFreePorts, PortPicker} from './free_ports.js';
import {Launcher} from './launcher.js';

const CHILD_SCRIPT = fileURLToPath(
  new URL('./test_support/pick_ports_child.js', import.meta.url),
);
const PROCESS_COUNT = 8;
const PORTS_PER_PROCESS = 250;

/** Starts a process that picks ports and keeps their blocks reserved. */
async function startPicker(launcher: Launcher, ...args: readonly number[]) {
  const picker = launcher.launch({
    script: CHILD_SCRIPT,
    args: args.map(String),
  });
  const {ports} = await picker.firstJsonLine<{ports: number[]}>();
  return {process: picker, ports};
}

test('processes that pick ports at the same time never pick the same ones', async t => {
  // Test files run in parallel, and the processes that they start need seconds
  // until they listen. If another file picks the same port meanwhile, one of
  // the two processes ends with EADDRINUSE and its test fails without a fault
  // of the product.
  const launcher = new Launcher();
  t.teardown(() => launcher.close());
  const pickers = await Promise.all(
    Array.from({length: PROCESS_COUNT}, () =>
      startPicker(launcher, PORTS_PER_PROCESS),
    ),
  );
  const ports = pickers.flatMap(picker => picker.ports);
  t.is(new Set(ports).size, PROCESS_COUNT * PORTS_PER_PROCESS);
});

/** Returns the lower of two adjacent ports reserved for this process. */
async function pickNeighbours(): Promise<number> {
  for (;;) {
    const [lower, upper] = await pickFreePorts(2);
    if (upper === lower + 1) return lower;
  }
}

test('ports of a process that was killed can be picked again', async t => {
  // Test runs are often aborted. If reservations outlived their process, each
  // aborted run would leave fewer ports, until tests could start no processes.
  const launcher = new Launcher();
  t.teardown(() => launcher.close());
  const lowestPort = await pickNeighbours();
  const onlyBlock = {lowestPort, blocks: 1, portsPerBlock: 2};
  const holder = await startPicker(launcher, 1, lowestPort, 1, 2);
  t.deepEqual(holder.ports, [lowestPort + 1]);
  await t.throwsAsync(new PortPicker(onlyBlock).pick(1), {
    message: /all blocks/,
  });
  await holder.process.kill();
  t.deepEqual(await new PortPicker(onlyBlock).pick(1), [lowestPort + 1]);
});

test('a port that already has a listener is skipped', async t => {
  // A process may outlive the killed test that started it. Another process that
  // is given the same port fails to start.
  const lowestPort = await pickNeighbours();
  const otherServer = createServer();
  t.teardown(() => otherServer.close());
  await listenOn(otherServer, lowestPort + 1, '127.0.0.1');
  const picker = new PortPicker({lowestPort, blocks: 1, portsPerBlock: 2});
  await t.throwsAsync(picker.pick(1), {message: /all blocks/});
});

test('concurrent picks of one process return different ports', async t => {
  const picks = Array.from({length: 70}, () => pickFreePorts(3));
  const ports = (await Promise.all(picks)).flat();
  t.is(new Set(ports).size, 210);
});
