/** Peer records for requests that were in flight at a crash. */

import type {PeerNetwork} from '@snipestage/peer/peer_network.js';
import type {PeerRecord} from '@snipestage/peer/records.js';
import type {ReportedCrash} from '@snipestage/policy/crash_records.js';
import type {SuspectGuard} from '../choose/suspect_guard.js';
import type {SuspectTrials, TrialUpdate} from '../choose/suspect_trials.js';
import type {PeerTask} from './peer_task.js';

const CRASHES = 'crashes';
const TRIAL = 'suspect_trial';
const CRASHES_WANTED = 'crashes_wanted';

/**
 * @example
 * network.broadcast(toSuspectRecord(crashes));
 */
export function toSuspectRecord(crashes: readonly ReportedCrash[]): PeerRecord {
  const json = Buffer.from(JSON.stringify(crashes));
  return {kind: 'extension', name: CRASHES, json};
}

/**
 * @example
 * network.broadcast(toTrialRecord({fingerprint, running: true}));
 */
export function toTrialRecord(update: TrialUpdate): PeerRecord {
  const json = Buffer.from(JSON.stringify(update));
  return {kind: 'extension', name: TRIAL, json};
}

/**
 * Handles the records of other instances, and requests all known crashes from
 * the first instance found: a caller repeats a request to whichever instance
 * the balancer picks, also to one that has just started.
 *
 * @example
 * connectSuspects(peerTask, network, guard, trials);
 */
export function connectSuspects(
  peers: PeerTask,
  network: PeerNetwork,
  guard: SuspectGuard,
  trials: SuspectTrials,
): void {
  peers.onExtension(TRIAL, (json, from) => {
    trials.mergeUpdate(JSON.parse(json.toString('utf8')) as TrialUpdate, from);
  });
  peers.onExtension(CRASHES, json => {
    guard.mergeCrashes(JSON.parse(json.toString('utf8')) as ReportedCrash[]);
  });
  peers.onExtension(CRASHES_WANTED, (json, from) => {
    network.send(from, toSuspectRecord(guard.readAll()));
  });
  let hasRequested = false;
  network.onMembersChanged(() => {
    const other = network.members().find(({id}) => id !== network.self().id);
    if (hasRequested || other === undefined) return;
    const json = Buffer.from('{}');
    const record = {kind: 'extension', name: CRASHES_WANTED, json} as const;
    hasRequested = network.send(other.id, record);
  });
}
