/** Handles received frames: member updates, revisions, records and rumours. */

import type {PeerFrame, Rumour} from './frame_codec.js';
import type {FrameSender} from './frame_sender.js';
import type {Membership} from './membership.js';
import type {NetworkHandlers} from './network_handlers.js';
import type {PeerContact} from './peer_contact.js';
import type {PeerIdentity} from './records.js';
import type {RumourLog} from './rumour_log.js';

/** Options of {@link FrameReceiver}. */
export interface FrameReceiverOptions {
  readonly membership: Membership;
  readonly handlers: NetworkHandlers;
  readonly rumours: RumourLog;
  readonly sender: FrameSender;
  readonly readNowMs: () => number;
  /** Publishes the member changes that a frame has caused. */
  readonly publishChanges: () => void;
}

/** Calls the handlers, and forwards rumours and urgent member updates. */
export class FrameReceiver {
  constructor(private readonly options: FrameReceiverOptions) {}

  /** Handles a frame from an instance. */
  receive(contact: PeerContact, from: PeerIdentity, frame: PeerFrame): void {
    const {membership, handlers, sender, readNowMs} = this.options;
    const nowMs = readNowMs();
    membership.noteFrame(from, frame.revision, nowMs);
    membership.merge(frame.members, from.id, nowMs);
    this.options.publishChanges();
    // Records of an incarnation that another has replaced must not be answered.
    const member = membership.get(from.id);
    if (member?.incarnation !== from.incarnation) return;
    handlers.notifyRevision(frame.revision, from.id);
    for (const record of frame.records) handlers.notifyRecord(record, from);
    this.receiveRumours(contact, from, frame.rumours ?? []);
    const hasUrgentUpdates = [...sender.linked()].some(({id}) =>
      membership.hasUrgentUpdates(id),
    );
    if (hasUrgentUpdates) sender.schedule(true);
  }

  /** Handles each rumour once and passes it on. */
  private receiveRumours(
    contact: PeerContact,
    from: PeerIdentity,
    rumours: readonly Rumour[],
  ): void {
    const {handlers, sender} = this.options;
    for (const rumour of rumours) {
      if (!this.options.rumours.noteSeen(rumour.id)) continue;
      handlers.notifyRecord(rumour.record, from);
      for (const other of sender.linked()) {
        if (other !== contact) other.queueRumour(rumour);
      }
      sender.schedule(true);
    }
  }
}
