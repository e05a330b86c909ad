/** What this process holds for one other instance: its link and its outbox. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {Rumour} from './frame_codec.js';
import type {PeerLink} from './peer_link.js';
import type {PeerRecord} from './records.js';

const FIRST_BACKOFF_MS = 250;
const LONGEST_BACKOFF_MS = 5000;
/** When both sides dial within this time, the lower id's stream stays. */
const SIMULTANEOUS_MS = 1000;
const MAX_QUEUED_RECORDS = 20_000;

export class PeerContact {
  /** The stream in use; both sides have said hello. */
  link?: PeerLink;
  linkedMs = -Infinity;
  /** A stream that this process is opening. */
  dialling?: PeerLink;
  failedDials = 0;
  nextDialMs = -Infinity;
  /** Since when a stream is wanted; absent when none is or there is one. */
  wantedMs?: number;
  /** A new revision is in force and has not been told. */
  owesRevision = false;
  private records: PeerRecord[] = [];
  private rumours: Rumour[] = [];

  constructor(readonly id: InstanceId) {}

  get hasOutgoing(): boolean {
    return this.records.length > 0 || this.rumours.length > 0;
  }

  get isConnected(): boolean {
    return this.link !== undefined;
  }

  /** False when the outbox is full: the other side reads too slowly. */
  queue(record: PeerRecord): boolean {
    if (this.records.length >= MAX_QUEUED_RECORDS) return false;
    this.records.push(record);
    return true;
  }

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

  /** After a dial that led to nothing: wait longer each time. */
  noteFailedDial(nowMs: number, random: () => number): void {
    const backoffMs = FIRST_BACKOFF_MS * 2 ** this.failedDials;
    const boundedMs = Math.min(backoffMs, LONGEST_BACKOFF_MS);
    this.nextDialMs = nowMs + boundedMs * (0.5 + random());
    this.failedDials += 1;
  }

  /**
   * Takes a stream over which the other side said hello. Returns the one that
   * has to end, which may be the new one.
   *
   * Both may have dialled at the same time. If each ended the stream that it
   * had first, both would go and the two would dial again, for ever; so both
   * keep the one that the lower id opened. A stream that has stood for a while
   * yields to a new one: the other side has found it silent.
   */
  adopt(link: PeerLink, self: InstanceId, nowMs: number): PeerLink | undefined {
    if (this.dialling === link) this.dialling = undefined;
    const old = this.link;
    const isSameLife =
      old?.peer?.incarnation === link.peer?.incarnation &&
      old?.isDialled !== link.isDialled;
    const isSimultaneous = nowMs - this.linkedMs < SIMULTANEOUS_MS;
    const isLoser = link.isDialled !== self < this.id;
    if (old !== undefined && isSameLife && isSimultaneous && isLoser) {
      return link;
    }
    this.link = link;
    this.linkedMs = nowMs;
    this.failedDials = 0;
    this.nextDialMs = -Infinity;
    this.wantedMs = undefined;
    return old;
  }
}
