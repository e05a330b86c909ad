/** What a network is made from, and whom it tells what. */

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

/** Told for each record, in the order of its sender. */
export type RecordHandler = (record: PeerRecord, from: PeerIdentity) => void;
export type MemberChangeHandler = (changes: readonly MemberChange[]) => void;
/** Told when a peer is seen to have a revision in force. */
export type RevisionHandler = (revision: Revision, from: InstanceId) => void;
/** Told of records that were not handed to the connection. */
export type UndeliveredHandler = (
  instance: InstanceId,
  records: readonly PeerRecord[],
) => void;
export type LogHandler = (
  event: string,
  fields: Readonly<Record<string, unknown>>,
) => void;

/** What a {@link PeerNetwork} is made from. */
export interface PeerNetworkOptions {
  readonly settings: EntrySettings['peer'];
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  /** Default: a random one. */
  readonly incarnation?: Incarnation;
  readonly random?: () => number;
  readonly readMonotonicMs?: () => number;
  readonly readEpochMs?: () => number;
  readonly log?: LogHandler;
}

/**
 * Random name of one life of an instance.
 *
 * @example
 * const incarnation = createIncarnation();
 */
export function createIncarnation(): Incarnation {
  return randomBytes(INCARNATION_BYTES).toString('hex') as Incarnation;
}

/**
 * This instance as it starts; its address is known once it listens.
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
