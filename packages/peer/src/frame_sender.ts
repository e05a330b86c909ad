/** What goes out, and when: one frame a tick to each instance. */

import type {PeerFrame} from './frame_codec.js';
import {FrameTicker} from './frame_ticker.js';
import type {LinkKeeper} from './link_keeper.js';
import type {Membership} from './membership.js';
import type {PeerContact} from './peer_contact.js';

/** What a {@link FrameSender} is made from. */
export interface FrameSenderOptions {
  readonly membership: Membership;
  readonly keeper: LinkKeeper;
  readonly tickMs: number;
  readonly heartbeatMs: number;
  readonly readNowMs: () => number;
}

/** A stream carries a heartbeat every second beat. */
const BEATS_PER_HEARTBEAT = 2;
/** Timers come a little early or late; a heartbeat due so soon goes now. */
const BEAT_SLACK_MS = 100;

/** Owns the ticker; what waits is held by the contacts and the membership. */
export class FrameSender {
  private readonly ticker: FrameTicker;

  constructor(private readonly options: FrameSenderOptions) {
    const {tickMs, readNowMs} = options;
    const onTick = () => this.flush();
    this.ticker = new FrameTicker({tickMs, readNowMs, onTick});
  }

  /** Something waits; patient things wait a whole tick for company. */
  schedule(isUrgent: boolean): void {
    this.ticker.schedule(isUrgent);
  }

  stop(): void {
    this.ticker.stop();
  }

  /** Instances to which a frame may be written. */
  *linked(): Generator<PeerContact> {
    for (const contact of this.options.keeper.contacts.values()) {
      if (contact.link?.isWritable) yield contact;
    }
  }

  /** One frame to each instance for which there is something. */
  flush(isBeat = false): void {
    const {membership, heartbeatMs, readNowMs} = this.options;
    const nowMs = readNowMs();
    this.ticker.noteTick(nowMs);
    let hasMore = false;
    for (const contact of this.linked()) {
      const link = contact.link!;
      const silentMs = nowMs - link.lastSentMs;
      const dueMs = heartbeatMs * BEATS_PER_HEARTBEAT - BEAT_SLACK_MS;
      const isHeartbeat = isBeat && silentMs >= dueMs;
      const hasNews = membership.hasNews(contact.id);
      const isOwed = contact.hasOutgoing || contact.owesRevision || hasNews;
      if (!isHeartbeat && !isOwed) continue;
      link.send(this.composeFrame(contact, isHeartbeat), nowMs);
      hasMore ||= membership.hasNews(contact.id);
    }
    if (hasMore) this.schedule(true);
  }

  private composeFrame(contact: PeerContact, isHeartbeat: boolean): PeerFrame {
    const {membership} = this.options;
    contact.owesRevision = false;
    return {
      revision: membership.self.revision,
      members: membership.takeUpdates(contact.id, isHeartbeat),
      records: contact.takeRecords(),
      rumours: contact.takeRumours(),
    };
  }
}
