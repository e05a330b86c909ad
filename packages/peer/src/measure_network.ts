/**
 * Measures the cost of a network to a process: runs the given numbers of
 * processes on loopback, idle and with a few records a tick, and prints
 * processor time, frames, bytes and memory per process. Between the two it
 * pushes revisions and prints the time until all processes have them in force.
 * Kills only the processes that it started.
 *
 * `node dist/measure_network.js [sizes, by default 9 20 40]`
 */

import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import {fitLine, quantile} from './measure_statistics.js';

const CHILD_FILE = fileURLToPath(
  new URL('./measure_network_child.js', import.meta.url),
);
const DEFAULT_SIZES = [9, 20, 40];
const DATA_CENTRE_COUNT = 3;
const SETTLE_MS = 12_000;
const MEASURE_MS = 15_000;
const PUSH_COUNT = 20;
const PUSH_INTERVAL_MS = 500;
const BUSY_RECORDS_PER_TICK = 3;
const BUSY_TICK_MS = 50;
const TARGET_INSTANCES = 380;

/** Answer of a child to a command. */
interface Reading {
  readonly cpuMs: number;
  readonly framesSent: number;
  readonly framesReceived: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly memoryMb: number;
  readonly alive: number;
  /** Epoch time at which each revision came into force. */
  readonly inForceEpochMs: {readonly [revision: string]: number};
}

interface Child {
  readonly process: ChildProcess;
  readonly listed: ListedInstance;
  /** Sends one command and resolves with the answer. */
  ask(command: object): Promise<Reading>;
}

async function startChild(n: number): Promise<Child> {
  const id = `entry-${n}` as InstanceId;
  const dataCentre = `dc${n % DATA_CENTRE_COUNT}` as DataCentreId;
  const child = spawn(process.execPath, [CHILD_FILE, id, dataCentre], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const lines = createInterface(child.stdout)[Symbol.asyncIterator]();
  const readLine = async () => JSON.parse((await lines.next()).value as string);
  const {peerAddress} = (await readLine()) as {peerAddress: string};
  return {
    process: child,
    listed: {id, dataCentre, peerAddress, state: 'live'},
    ask: async command => {
      child.stdin.write(`${JSON.stringify(command)}\n`);
      return (await readLine()) as Reading;
    },
  };
}

function askAll(children: readonly Child[], command: object) {
  return Promise.all(children.map(child => child.ask(command)));
}

/**
 * Mean rates per second and process, the largest memory and the smallest number
 * of members held alive.
 */
async function measureRates(children: readonly Child[]) {
  const before = await askAll(children, {kind: 'read'});
  await sleep(MEASURE_MS);
  const after = await askAll(children, {kind: 'read'});
  const rate = (read: (reading: Reading) => number) => {
    const sum = after.reduce(
      (all, one, n) => all + read(one) - read(before[n]),
      0,
    );
    return (sum * 1000) / MEASURE_MS / children.length;
  };
  return {
    cpuMs: rate(one => one.cpuMs),
    framesSent: rate(one => one.framesSent),
    framesReceived: rate(one => one.framesReceived),
    bytes: rate(one => one.bytesSent + one.bytesReceived),
    memoryMb: Math.max(...after.map(one => one.memoryMb)),
    alive: Math.min(...after.map(one => one.alive)),
  };
}

async function measureSpread(children: readonly Child[]): Promise<number[]> {
  const startedEpochMs = new Map<number, number>();
  for (let revision = 1; revision <= PUSH_COUNT; revision += 1) {
    startedEpochMs.set(revision, Date.now());
    await children[revision % children.length].ask({kind: 'push', revision});
    await sleep(PUSH_INTERVAL_MS);
  }
  const readings = await askAll(children, {kind: 'read'});
  return [...startedEpochMs].map(([revision, startMs]) => {
    const ends = readings.map(one => one.inForceEpochMs[revision] ?? Infinity);
    return Math.max(...ends) - startMs;
  });
}

async function measureSize(size: number) {
  const children = await Promise.all(
    Array.from({length: size}, (_, n) => startChild(n)),
  );
  const instances = children.map(child => child.listed);
  await askAll(children, {kind: 'seed', instances});
  await sleep(SETTLE_MS);
  const idle = await measureRates(children);
  const spread = await measureSpread(children);
  await askAll(children, {
    kind: 'busy',
    records: BUSY_RECORDS_PER_TICK,
    tickMs: BUSY_TICK_MS,
  });
  const busy = await measureRates(children);
  for (const child of children) child.process.kill('SIGKILL');
  return {size, idle, busy, spread};
}

type Rates = Awaited<ReturnType<typeof measureRates>>;

function printRates(size: number, what: string, rates: Rates): void {
  const {cpuMs, framesSent, framesReceived, bytes, memoryMb, alive} = rates;
  console.log(
    `${size} processes, ${what}: ${cpuMs.toFixed(1)} ms/s of processor, ` +
      `${framesSent.toFixed(1)} frames/s sent, ` +
      `${framesReceived.toFixed(1)} received, ` +
      `${(bytes / 1000).toFixed(2)} KB/s sent and received, ` +
      `${memoryMb.toFixed(0)} MB at most, ${alive} alive in the least view`,
  );
}

const sizes = process.argv.slice(2).map(Number);
const results: Array<Awaited<ReturnType<typeof measureSize>>> = [];
for (const size of sizes.length > 0 ? sizes : DEFAULT_SIZES) {
  const result = await measureSize(size);
  results.push(result);
  printRates(size, 'idle', result.idle);
  printRates(size, 'busy', result.busy);
  const {spread} = result;
  console.log(
    `${size} processes, push until in force everywhere: ` +
      `p50 ${quantile(spread, 0.5)} ms, p90 ${quantile(spread, 0.9)} ms, ` +
      `most ${Math.max(...spread)} ms, of ${spread.length}`,
  );
}
if (results.length > 1) {
  const fit = (read: (rates: Rates) => number) => {
    const points = results.map(({size, idle}) => [size, read(idle)] as const);
    const line = fitLine(points);
    const atTarget = line.intercept + line.slope * TARGET_INSTANCES;
    return `${line.slope.toFixed(4)} a process, ${atTarget.toFixed(1)} at ${TARGET_INSTANCES}`;
  };
  console.log(`idle slope, processor ms/s: ${fit(rates => rates.cpuMs)}`);
  console.log(`idle slope, frames/s sent: ${fit(rates => rates.framesSent)}`);
  console.log(`idle slope, bytes/s: ${fit(rates => rates.bytes)}`);
  console.log(`idle slope, memory MB: ${fit(rates => rates.memoryMb)}`);
}
