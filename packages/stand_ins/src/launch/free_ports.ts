/** Ports for processes that have to be told theirs. */

import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {listenOn} from '../http/listen.js';

/** Below the range from which the system takes ports for outgoing calls. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 32_000;
/** Given out by this process, though their listeners may not be up yet. */
const taken = new Set<number>();

/**
 * Picks ports that nobody listens on. They lie outside of the range of outgoing
 * connections, one of which could otherwise take a port between the pick and
 * the start of the process that was to have it.
 *
 * @example
 * const [callersPort, adminPort, peerPort] = await pickFreePorts(3);
 */
export async function pickFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    if (taken.has(port)) continue;
    taken.add(port);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await listenOn(server, port, '127.0.0.1');
  } catch {
    return false;
  }
  await new Promise(resolve => server.close(resolve));
  return true;
}
