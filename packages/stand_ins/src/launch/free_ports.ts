/** Ports for processes that have to be told theirs. */

import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';
import {listenOn} from '../http/listen.js';

/** What a {@link PortPicker} is made from; defaults in the brackets. */
export interface PortPickerOptions {
  /**
   * First port of the first block (12,000). With the defaults all blocks lie
   * outside of the range of outgoing connections, one of which could otherwise
   * take a port before the process that was to have it.
   */
  readonly lowestPort?: number;
  /** How many blocks follow one another (200). */
  readonly blocks?: number;
  /** Ports of a block, its guard among them (100). */
  readonly portsPerBlock?: number;
}

const HOST = '127.0.0.1';
const DEFAULT_LOWEST_PORT = 12_000;
const DEFAULT_BLOCKS = 200;
const DEFAULT_PORTS_PER_BLOCK = 100;

/**
 * Picks ports from blocks that are this process's alone.
 *
 * A port on which nobody listens now is not free yet: a process that was told
 * it takes seconds until it listens, and another process of tests may pick it
 * meanwhile. One of the two then ends with EADDRINUSE. So whoever picks from a
 * block listens on its first port, the guard, for as long as it lives, and
 * nobody picks from a block whose guard is taken. The system lets go of the
 * guard with the process, however it ends.
 */
export class PortPicker {
  private readonly lowestPort: number;
  private readonly blocks: number;
  private readonly portsPerBlock: number;
  private block?: Promise<Iterator<number>>;

  constructor(options: PortPickerOptions = {}) {
    this.lowestPort = options.lowestPort ?? DEFAULT_LOWEST_PORT;
    this.blocks = options.blocks ?? DEFAULT_BLOCKS;
    this.portsPerBlock = options.portsPerBlock ?? DEFAULT_PORTS_PER_BLOCK;
  }

  /**
   * Ports on which nobody listens; none is given out twice.
   *
   * @throws Error when other processes hold all blocks.
   * @example
   * const [callersPort, adminPort] = await picker.pick(2);
   */
  async pick(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const port = await this.takeNext();
      // Left behind by a process that outlived the holder of its block.
      if (await isListenedOn(port)) continue;
      ports.push(port);
    }
    return ports;
  }

  private async takeNext(): Promise<number> {
    for (;;) {
      this.block ??= this.reserveBlock();
      const reservation = this.block;
      const next = (await reservation).next();
      if (next.done !== true) return next.value;
      if (this.block === reservation) this.block = undefined;
    }
  }

  /** @returns the block's ports without its guard. */
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
 * Picks ports that no other process picks while this one lives.
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

async function isListenedOn(port: number): Promise<boolean> {
  const server = await tryToListen(port);
  if (server === undefined) return true;
  await new Promise(resolve => server.close(resolve));
  return false;
}

/** Turns away whoever connects. */
async function tryToListen(port: number): Promise<Server | undefined> {
  const server = createServer(socket => socket.destroy());
  try {
    await listenOn(server, port, HOST);
    return server;
  } catch {
    return undefined;
  }
}
