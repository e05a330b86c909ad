/** Peer records for copies of usage counters. */

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
 * Returns the peer that holds copies of this instance's counters: one of its
 * own data centre if there is one. Rendezvous hashing keeps the choice stable;
 * it changes only when that peer leaves or a preferred one joins.
 *
 * @example
 * const replica = findUsageReplica(view);
 */
export function findUsageReplica(view: ClusterView): InstanceId | undefined {
  const {id, dataCentre} = view.self;
  const others = view.live().filter(member => member.id !== id);
  const near = instancesIn(others, dataCentre);
  const candidates = near.length > 0 ? near : others.map(other => other.id);
  return rankByRendezvous(`usage/${id}`, candidates)[0];
}

/**
 * @example
 * network.send(replica, toUsageRecord(changes));
 */
export function toUsageRecord(changes: readonly UsageCopyChange[]): PeerRecord {
  const json = Buffer.from(JSON.stringify(changes));
  return {kind: 'extension', name: COPIES, json};
}

/**
 * Stores the copies that other instances send.
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
    const changes = JSON.parse(json.toString('utf8')) as UsageCopyChange[];
    copies.mergeChanges(sender.incarnation, changes);
  });
}
