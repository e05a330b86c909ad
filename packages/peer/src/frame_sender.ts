/** Composes and sends the frames: at most one per tick to each instance. */

import type {PeerFrame} from './frame_codec.js';
import {FrameTicker} from './frame_ticker.js';
import type {LinkManager} from './link_manager.js';
import type {Membership} from './membership.js';
import type {PeerContact} from './peer_contact.js';

/** Options of {@link FrameSender}. */
export interface FrameSenderOptions {
  readonly membership: Membership;
  readonly linkManager: LinkManager;
  readonly tickMs: number;
  readonly heartbeatMs: number;
  readonly readNowMs: () => number;
}

/** Intervals of `heartbeatMs` after which a stream without frames gets one. */
const INTERVALS_PER_HEARTBEAT = 2;
/** Timers fire early or late; a heartbeat due within this time is sent now. */
const HEARTBEAT_SLACK_MS = 100;

/** Owns the ticker; the contacts and the membership hold the queues. */
export class FrameSender {
  private readonly ticker: FrameTicker;

  constructor(private readonly options: FrameSenderOptions) {
    const {tickMs, readNowMs} = options;
    const onTick = () => this.flush();
    this.ticker = new FrameTicker({tickMs, readNowMs, onTick});
  }

  /**
   * Schedules a flush: as soon as possible if urgent, else after a whole tick.
   */
  schedule(isUrgent: boolean): void {
    this.ticker.schedule(isUrgent);
  }

  stop(): void {
    this.ticker.stop();
  }

  /** Instances to which a frame may be written. */
  *linked(): Generator<PeerContact> {
    for (const contact of this.options.linkManager.contacts.values()) {
      if (contact.link?.isWritable) yield contact;
    }
  }

  /** Sends one frame to each instance for which something is queued or due. */
  flush(sendsHeartbeats = false): void {
    const {membership, heartbeatMs, readNowMs} = this.options;
    const nowMs = readNowMs();
    this.ticker.noteTick(nowMs);
    let hasMore = false;
    for (const contact of this.linked()) {
      const link = contact.link!;
      const silentMs = nowMs - link.lastSentMs;
      const dueMs = heartbeatMs * INTERVALS_PER_HEARTBEAT - HEARTBEAT_SLACK_MS;
      const isHeartbeat = sendsHeartbeats && silentMs >= dueMs;
      const hasUrgentUpdates = membership.hasUrgentUpdates(contact.id);
      const isPending =
        contact.hasOutgoing || contact.hasUnsentRevision || hasUrgentUpdates;
      if (!isHeartbeat && !isPending) continue;
      link.send(this.composeFrame(contact, isHeartbeat), nowMs);
      hasMore ||= membership.hasUrgentUpdates(contact.id);
    }
    if (hasMore) this.schedule(true);
  }

  private composeFrame(contact: PeerContact, isHeartbeat: boolean): PeerFrame {
    const {membership} = this.options;
    contact.hasUnsentRevision = false;
    return {
      revision: membership.self.revision,
      members: membership.takeUpdates(contact.id, isHeartbeat),
      records: contact.takeRecords(),
      rumours: contact.takeRumours(),
    };
  }
}
