/** What comes in: members, revisions, records and rumours. */

import type {PeerFrame, Rumour} from './frame_codec.js';
import type {FrameSender} from './frame_sender.js';
import type {Membership} from './membership.js';
import type {NetworkHandlers} from './network_handlers.js';
import type {PeerContact} from './peer_contact.js';
import type {PeerIdentity} from './records.js';
import type {RumourLog} from './rumour_log.js';

/** What a {@link FrameReceiver} is made from. */
export interface FrameReceiverOptions {
  readonly membership: Membership;
  readonly handlers: NetworkHandlers;
  readonly rumours: RumourLog;
  readonly sender: FrameSender;
  readonly readNowMs: () => number;
  /** Tells what the frame has changed among the members. */
  readonly publishChanges: () => void;
}

/** Passes on what others should hear. */
export class FrameReceiver {
  constructor(private readonly options: FrameReceiverOptions) {}

  /** Takes in a frame of an instance. */
  take(contact: PeerContact, from: PeerIdentity, frame: PeerFrame): void {
    const {membership, handlers, sender, readNowMs} = this.options;
    const nowMs = readNowMs();
    membership.hear(from, frame.revision, nowMs);
    membership.merge(frame.members, from.id, nowMs);
    this.options.publishChanges();
    // A life that another one has replaced must not be answered.
    const member = membership.get(from.id);
    if (member?.incarnation !== from.incarnation) return;
    handlers.tellRevision(frame.revision, from.id);
    for (const record of frame.records) handlers.tellRecord(record, from);
    this.takeRumours(contact, from, frame.rumours ?? []);
    const hasNews = [...sender.linked()].some(({id}) => membership.hasNews(id));
    if (hasNews) sender.schedule(true);
  }

  /** Each rumour is heard here once, and passed on. */
  private takeRumours(
    contact: PeerContact,
    from: PeerIdentity,
    rumours: readonly Rumour[],
  ): void {
    const {handlers, sender} = this.options;
    for (const rumour of rumours) {
      if (!this.options.rumours.noteSeen(rumour.id)) continue;
      handlers.tellRecord(rumour.record, from);
      for (const other of sender.linked()) {
        if (other !== contact) other.queueRumour(rumour);
      }
      sender.schedule(true);
    }
  }
}
