/** Options and handler types of a network. */

import {randomBytes} from 'node:crypto';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {
  DataCentreId,
  Incarnation,
  InstanceId,
  Revision,
} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import {firstHeartbeat} from './member_rules.js';
import type {MemberChange} from './membership.js';
import type {PeerIdentity, PeerRecord} from './records.js';

const INCARNATION_BYTES = 8;

/** Called for each record, in the order in which its sender queued them. */
export type RecordHandler = (record: PeerRecord, from: PeerIdentity) => void;
export type MemberChangeHandler = (changes: readonly MemberChange[]) => void;
/** Called when a frame shows which revision a peer has in force. */
export type RevisionHandler = (revision: Revision, from: InstanceId) => void;
/** Called with records that were not written to a stream. */
export type UndeliveredHandler = (
  instance: InstanceId,
  records: readonly PeerRecord[],
) => void;
export type LogHandler = (
  event: string,
  fields: Readonly<Record<string, unknown>>,
) => void;

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  readonly settings: EntrySettings['peer'];
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  /** Default: a random one, see {@link createIncarnation}. */
  readonly incarnation?: Incarnation;
  readonly random?: () => number;
  readonly readMonotonicMs?: () => number;
  readonly readEpochMs?: () => number;
  readonly log?: LogHandler;
}

/**
 * A random name for an incarnation of an instance.
 *
 * @example
 * const incarnation = createIncarnation();
 */
export function createIncarnation(): Incarnation {
  return randomBytes(INCARNATION_BYTES).toString('hex') as Incarnation;
}

/**
 * The member entry of this instance at its start; its address is set once it
 * listens.
 *
 * @example
 * const self = describeStart(options, createIncarnation());
 */
export function describeStart(
  options: PeerNetworkOptions,
  incarnation: Incarnation,
): Member {
  const readEpochMs = options.readEpochMs ?? Date.now;
  return {
    id: options.id,
    incarnation,
    dataCentre: options.dataCentre,
    peerAddress: '',
    state: 'alive',
    heartbeat: firstHeartbeat(readEpochMs()),
    revision: 0 as Revision,
  };
}
