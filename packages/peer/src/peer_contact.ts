/** The link to one other instance, and the records queued for it. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {Rumour} from './frame_codec.js';
import type {PeerLink} from './peer_link.js';
import type {PeerRecord} from './records.js';

const FIRST_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5000;
/**
 * Of two streams opened within this time, the one that the lower id dialled
 * stays.
 */
const SIMULTANEOUS_DIAL_WINDOW_MS = 1000;
const MAX_QUEUED_RECORDS = 20_000;

export class PeerContact {
  /** The stream in use, after the hellos of both sides. */
  link?: PeerLink;
  linkedAtMs = -Infinity;
  /** A stream that this process is opening. */
  dialling?: PeerLink;
  failedDials = 0;
  nextDialMs = -Infinity;
  /** Since when a stream is needed; absent when none is, or one is open. */
  wantedSinceMs?: number;
  /** Whether a new revision in force has yet to be sent. */
  hasUnsentRevision = false;
  private records: PeerRecord[] = [];
  private rumours: Rumour[] = [];

  constructor(readonly id: InstanceId) {}

  get hasOutgoing(): boolean {
    return this.records.length > 0 || this.rumours.length > 0;
  }

  get isConnected(): boolean {
    return this.link !== undefined;
  }

  /** Returns false when the queue is full: the other side reads too slowly. */
  queue(record: PeerRecord): boolean {
    if (this.records.length >= MAX_QUEUED_RECORDS) return false;
    this.records.push(record);
    return true;
  }

  /** Drops the rumour when the queue is full. */
  queueRumour(rumour: Rumour): void {
    if (this.rumours.length < MAX_QUEUED_RECORDS) this.rumours.push(rumour);
  }

  takeRecords(): PeerRecord[] {
    const taken = this.records;
    this.records = [];
    return taken;
  }

  takeRumours(): Rumour[] {
    const taken = this.rumours;
    this.rumours = [];
    return taken;
  }

  /** Records a failed dial and sets the backoff, which grows each time. */
  noteFailedDial(nowMs: number, random: () => number): void {
    const backoffMs = FIRST_BACKOFF_MS * 2 ** this.failedDials;
    const boundedMs = Math.min(backoffMs, MAX_BACKOFF_MS);
    this.nextDialMs = nowMs + boundedMs * (0.5 + random());
    this.failedDials += 1;
  }

  /**
   * Adopts a stream over which the other side has sent its hello. Returns the
   * stream that has to end, if any, which may be the new one.
   *
   * Both sides may have dialled at the same time. If each ended the stream that
   * it had first, both streams would end and the two would dial again, for
   * ever; so both keep the one that the lower id opened. A stream that has been
   * open for a while is replaced by a new one: the other side has found it
   * silent.
   */
  adopt(link: PeerLink, self: InstanceId, nowMs: number): PeerLink | undefined {
    if (this.dialling === link) this.dialling = undefined;
    const old = this.link;
    const isSameIncarnation =
      old?.peer?.incarnation === link.peer?.incarnation &&
      old?.isDialled !== link.isDialled;
    const isSimultaneous =
      nowMs - this.linkedAtMs < SIMULTANEOUS_DIAL_WINDOW_MS;
    const isFromHigherId = link.isDialled !== self < this.id;
    if (
      old !== undefined &&
      isSameIncarnation &&
      isSimultaneous &&
      isFromHigherId
    ) {
      return link;
    }
    this.link = link;
    this.linkedAtMs = nowMs;
    this.failedDials = 0;
    this.nextDialMs = -Infinity;
    this.wantedSinceMs = undefined;
    return old;
  }
}
