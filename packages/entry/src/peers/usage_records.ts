/** Brings copies of usage counters to a peer that keeps them. */

import type {PeerNetwork} from '@snipestage/peer/peer_network.js';
import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {UsageCopies} from '../account/usage_copies.js';
import type {UsageCopy} from '../account/usage_counter_task.js';
import {instancesIn, type ClusterView} from '../choose/cluster_view.js';
import type {PeerTask} from './peer_task.js';

const COPIES = 'usage_copies';

/**
 * Sends an instance's counters to the peer that keeps them: one of its own data
 * centre if there is one, always the same while it lives.
 *
 * @example
 * sendUsageCopies(network, view, copies);
 */
export function sendUsageCopies(
  network: PeerNetwork,
  view: ClusterView,
  copies: readonly UsageCopy[],
): void {
  const {id, dataCentre} = view.self;
  const others = view.live().filter(member => member.id !== id);
  const near = instancesIn(others, dataCentre);
  const candidates = near.length > 0 ? near : others.map(other => other.id);
  const keeper = rankByRendezvous(`usage/${id}`, candidates)[0];
  if (keeper === undefined) return;
  const json = Buffer.from(JSON.stringify(copies));
  network.send(keeper, {kind: 'extension', name: COPIES, json});
}

/**
 * Keeps what others send.
 *
 * @example
 * connectUsageCopies(peerTask, network, copies);
 */
export function connectUsageCopies(
  peers: PeerTask,
  network: PeerNetwork,
  copies: UsageCopies,
): void {
  peers.onExtension(COPIES, (json, from) => {
    const sender = network.members().find(member => member.id === from);
    if (sender === undefined) return;
    const told = JSON.parse(json.toString('utf8')) as UsageCopy[];
    copies.take(sender.incarnation, told);
  });
}
