/** Starts networks for the tests of this package, and waits for conditions. */

import {setTimeout as sleep} from 'node:timers/promises';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import type {PeerNetworkOptions} from '../network_options.js';
import {PeerNetwork} from '../peer_network.js';
import {LOOP_CLOCK} from './loop_clock.js';

const POLL_MS = 20;
/** Long enough for a busy machine; a test that takes longer fails. */
const WAIT_TIMEOUT_MS = 30_000;

/** Settings with short times, for a listener on a free port. */
export const FAST_SETTINGS: EntrySettings['peer'] = {
  host: '127.0.0.1',
  port: 0,
  sharedSecret: 'a secret of the peers',
  tickMs: 10,
  heartbeatMs: 100,
  suspectAfterMs: 400,
  deadAfterMs: 1000,
};

/** Waits until the condition holds. Rejects after a time-out. */
export async function waitUntil(
  what: string,
  holds: () => boolean,
): Promise<void> {
  const startMs = LOOP_CLOCK.readMs();
  while (!holds()) {
    if (LOOP_CLOCK.readMs() - startMs > WAIT_TIMEOUT_MS) {
      throw new Error(`timed out waiting for: ${what}`);
    }
    await sleep(POLL_MS);
  }
}

/** Registers clean-up for the end of a test. */
export interface TestScope {
  teardown(end: () => void | Promise<void>): void;
}

/** Starts a network, in data centre `akl-a` unless the options name another. */
export async function startNetwork(
  scope: TestScope,
  id: string,
  options: Partial<PeerNetworkOptions> = {},
): Promise<PeerNetwork> {
  const network = new PeerNetwork({
    settings: FAST_SETTINGS,
    id: id as InstanceId,
    dataCentre: 'akl-a' as DataCentreId,
    readMonotonicMs: () => LOOP_CLOCK.readMs(),
    ...options,
  });
  await network.start();
  scope.teardown(() => network.stop());
  return network;
}

/** The networks as entries of an up-to-date platform list. */
export function listOf(networks: readonly PeerNetwork[]): ListedInstance[] {
  return networks.map(network => {
    const {id, dataCentre} = network.self();
    return {id, dataCentre, peerAddress: network.address(), state: 'live'};
  });
}

/** Ids of the members that the network holds alive, itself included. */
export function aliveIn(network: PeerNetwork): string[] {
  return network
    .members()
    .filter(member => member.state === 'alive')
    .map(member => member.id)
    .sort();
}

/**
 * Whether each holds a stream to the other. One side alone may still give up
 * the stream that it has opened.
 */
export function areConnected(one: PeerNetwork, other: PeerNetwork): boolean {
  return one.isConnected(other.self().id) && other.isConnected(one.self().id);
}
