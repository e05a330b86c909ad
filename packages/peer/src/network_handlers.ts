/** Calls the handlers that are registered at a network. */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {MemberChange} from './membership.js';
import type {
  MemberChangeHandler,
  RecordHandler,
  RevisionHandler,
  UndeliveredHandler,
} from './network_options.js';
import type {PeerIdentity, PeerRecord} from './records.js';

/** Handlers are called in the order in which they were registered. */
export class NetworkHandlers {
  readonly onRecords: RecordHandler[] = [];
  readonly onMembersChanged: MemberChangeHandler[] = [];
  readonly onRevisionSeen: RevisionHandler[] = [];
  readonly onUndelivered: UndeliveredHandler[] = [];

  notifyRecord(record: PeerRecord, from: PeerIdentity): void {
    const {id, incarnation} = from;
    for (const handler of this.onRecords) handler(record, {id, incarnation});
  }

  notifyChanges(changes: readonly MemberChange[]): void {
    for (const handler of this.onMembersChanged) handler(changes);
  }

  notifyRevision(revision: Revision, from: InstanceId): void {
    for (const handler of this.onRevisionSeen) handler(revision, from);
  }

  notifyUndelivered(
    instance: InstanceId,
    records: readonly PeerRecord[],
  ): void {
    if (records.length === 0) return;
    for (const handler of this.onUndelivered) handler(instance, records);
  }
}
