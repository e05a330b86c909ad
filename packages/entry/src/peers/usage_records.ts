/** Brings copies of usage counters to a peer that keeps them. */

import type {PeerNetwork} from '@snipestage/peer/peer_network.js';
import type {PeerRecord} from '@snipestage/peer/records.js';
import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {UsageCopies} from '../account/usage_copies.js';
import type {UsageCopyChange} from '../account/usage_copy.js';
import {instancesIn, type ClusterView} from '../choose/cluster_view.js';
import type {PeerTask} from './peer_task.js';

const COPIES = 'usage_copies';

/**
 * The peer that keeps this instance's counters: one of its own data centre if
 * there is one, always the same while it lives.
 *
 * @example
 * const keeper = findUsageKeeper(view);
 */
export function findUsageKeeper(view: ClusterView): InstanceId | undefined {
  const {id, dataCentre} = view.self;
  const others = view.live().filter(member => member.id !== id);
  const near = instancesIn(others, dataCentre);
  const candidates = near.length > 0 ? near : others.map(other => other.id);
  return rankByRendezvous(`usage/${id}`, candidates)[0];
}

/**
 * @example
 * network.send(keeper, toUsageRecord(changes));
 */
export function toUsageRecord(changes: readonly UsageCopyChange[]): PeerRecord {
  const json = Buffer.from(JSON.stringify(changes));
  return {kind: 'extension', name: COPIES, json};
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
    const told = JSON.parse(json.toString('utf8')) as UsageCopyChange[];
    copies.take(sender.incarnation, told);
  });
}
