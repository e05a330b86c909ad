/** Who is told what a network hears. */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {MemberChange} from './membership.js';
import type {
  MemberChangeHandler,
  RecordHandler,
  RevisionHandler,
  UndeliveredHandler,
} from './network_options.js';
import type {PeerIdentity, PeerRecord} from './records.js';

/** Handlers are called in the order in which they were given. */
export class NetworkHandlers {
  readonly onRecords: RecordHandler[] = [];
  readonly onMembersChanged: MemberChangeHandler[] = [];
  readonly onRevisionSeen: RevisionHandler[] = [];
  readonly onUndelivered: UndeliveredHandler[] = [];

  tellRecord(record: PeerRecord, from: PeerIdentity): void {
    const {id, incarnation} = from;
    for (const handler of this.onRecords) handler(record, {id, incarnation});
  }

  tellChanges(changes: readonly MemberChange[]): void {
    for (const handler of this.onMembersChanged) handler(changes);
  }

  tellRevision(revision: Revision, from: InstanceId): void {
    for (const handler of this.onRevisionSeen) handler(revision, from);
  }

  tellUndelivered(instance: InstanceId, records: readonly PeerRecord[]): void {
    if (records.length === 0) return;
    for (const handler of this.onUndelivered) handler(instance, records);
  }
}
