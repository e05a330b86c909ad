/** Picks ports for processes whose ports are set in their settings. */

import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';
import {listenOn} from '../http/listen.js';

/** Options of {@link PortPicker}; defaults in parentheses. */
export interface PortPickerOptions {
  /**
   * First port of the first block (12,000). With the defaults all blocks lie
   * outside the ephemeral port range. Otherwise an outgoing connection could
   * take a picked port before the process that is to have it listens on it.
   */
  readonly lowestPort?: number;
  /** Number of consecutive blocks (200). */
  readonly blocks?: number;
  /** Ports per block, including its guard port (100). */
  readonly portsPerBlock?: number;
}

const HOST = '127.0.0.1';
const DEFAULT_LOWEST_PORT = 12_000;
const DEFAULT_BLOCK_COUNT = 200;
const DEFAULT_PORTS_PER_BLOCK = 100;

/**
 * Picks ports from blocks that are reserved for this process.
 *
 * It is not enough that a port has no listener: a process that was given the
 * port needs seconds until it listens, and another test process may pick the
 * same port meanwhile. One of the two then ends with EADDRINUSE. Therefore a
 * process that picks from a block listens on the block's first port, the guard,
 * until it ends, and no process picks from a block whose guard is taken. The
 * system releases the guard when the process ends, even if it is killed.
 */
export class PortPicker {
  private readonly lowestPort: number;
  private readonly blocks: number;
  private readonly portsPerBlock: number;
  private block?: Promise<Iterator<number>>;

  constructor(options: PortPickerOptions = {}) {
    this.lowestPort = options.lowestPort ?? DEFAULT_LOWEST_PORT;
    this.blocks = options.blocks ?? DEFAULT_BLOCK_COUNT;
    this.portsPerBlock = options.portsPerBlock ?? DEFAULT_PORTS_PER_BLOCK;
  }

  /**
   * Picks ports that have no listener; none is returned twice.
   *
   * @throws Error when the guards of all blocks are taken.
   * @example
   * const [callersPort, adminPort] = await picker.pick(2);
   */
  async pick(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const port = await this.nextPort();
      // A process may still listen although the process that reserved the block
      // and gave it the port has ended.
      if (await isInUse(port)) continue;
      ports.push(port);
    }
    return ports;
  }

  private async nextPort(): Promise<number> {
    for (;;) {
      this.block ??= this.reserveBlock();
      const reservation = this.block;
      const next = (await reservation).next();
      if (next.done !== true) return next.value;
      if (this.block === reservation) this.block = undefined;
    }
  }

  /**
   * Reserves a block, searching from a random one.
   *
   * @returns the block's ports without its guard.
   */
  private async reserveBlock(): Promise<Iterator<number>> {
    const {blocks, lowestPort, portsPerBlock} = this;
    const firstTried = randomInt(blocks);
    for (let tried = 0; tried < blocks; tried += 1) {
      const block = (firstTried + tried) % blocks;
      const guardPort = lowestPort + block * portsPerBlock;
      const guard = await tryToListen(guardPort);
      if (guard === undefined) continue;
      guard.unref();
      return countUp(guardPort + 1, guardPort + portsPerBlock);
    }
    throw new Error('Other processes hold all blocks of ports.');
  }
}

const sharedPicker = new PortPicker();

/**
 * Picks ports that no other process picks until this one ends.
 *
 * @example
 * const [callersPort, adminPort, peerPort] = await pickFreePorts(3);
 */
export function pickFreePorts(count: number): Promise<number[]> {
  return sharedPicker.pick(count);
}

function* countUp(from: number, below: number): Generator<number> {
  for (let port = from; port < below; port += 1) yield port;
}

async function isInUse(port: number): Promise<boolean> {
  const server = await tryToListen(port);
  if (server === undefined) return true;
  await new Promise(resolve => server.close(resolve));
  return false;
}

/**
 * Listens on the port and closes every connection that is accepted.
 *
 * @returns `undefined` when listening fails.
 */
async function tryToListen(port: number): Promise<Server | undefined> {
  const server = createServer(socket => socket.destroy());
  try {
    await listenOn(server, port, HOST);
    return server;
  } catch {
    return undefined;
  }
}
