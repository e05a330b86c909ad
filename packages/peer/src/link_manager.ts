/**
 * Opens, replaces and closes the links: at most one for each pair of processes,
 * and none that has gone silent.
 */

import type {ServiceDefinition} from '@grpc/grpc-js';
import type {InstanceId} from '@snipestage/types/ids.js';
import {DialledLink} from './dialled_link.js';
import type {Hello, PeerFrame} from './frame_codec.js';
import type {PeerCredentials} from './peer_credentials.js';
import {PeerContact} from './peer_contact.js';
import type {LinkEnd, LinkOwner, PeerLink} from './peer_link.js';

// Time-outs named `..._INTERVALS` are in intervals of `heartbeatMs`.

/** Time without a frame after which a link is ended as silent. */
const SILENT_AFTER_INTERVALS = 3.5;
/**
 * Time-out of each step of opening a link: connection, proof, hello. An
 * instance that is gone or frozen completes the first step at most. One that is
 * busy or far away is slow at each: with one time-out for all steps together,
 * every dial to it would be abandoned and its queued records returned, again
 * and again, and a request would get no permit though the owner of its cell
 * runs.
 */
const CONNECT_STEP_TIMEOUT_INTERVALS = 2;
/**
 * Time-out of the hello on an accepted link; longer, since nothing waits for
 * it.
 */
const HELLO_TIMEOUT_INTERVALS = 10;
/** Time after which a duplicate that its dialler hasn't closed is ended. */
const RETIRING_TIMEOUT_INTERVALS = 10;
/**
 * Idle time-out of a link that has carried records: it may well be used again.
 */
const IDLE_TIMEOUT_MS = 60_000;
/** Age at which a link without records is closed: it served to find members. */
const UNUSED_TIMEOUT_INTERVALS = 10;

/** Callbacks of a {@link LinkManager} into the network. */
export interface LinkEvents {
  readonly readNowMs: () => number;
  readonly describeSelf: () => Hello;
  readonly sendHello: (link: PeerLink) => void;
  readonly onOpened: (contact: PeerContact, hello: Hello) => void;
  readonly onFrame: (
    contact: PeerContact,
    from: Hello,
    frame: PeerFrame,
  ) => void;
  readonly onLost: (contact: PeerContact, reason: LinkEnd) => void;
  /** A dial failed and there is no link: queued records are not delivered. */
  readonly onUnreachable: (contact: PeerContact) => void;
  readonly log: (
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Options of {@link LinkManager}. */
export interface LinkManagerOptions {
  readonly events: LinkEvents;
  readonly credentials: PeerCredentials;
  readonly sharedSecret: string;
  readonly service: ServiceDefinition;
  readonly random: () => number;
  readonly heartbeatMs: number;
}

export class LinkManager implements LinkOwner {
  readonly contacts = new Map<InstanceId, PeerContact>();
  /** Number of ended links by reason. */
  readonly endCounts: {[Reason in LinkEnd]?: number} = {};
  /** Accepted links over which no hello has come yet. */
  private readonly unidentified = new Set<PeerLink>();
  private readonly dialledTo = new Map<PeerLink, PeerContact>();
  /** Duplicates that are still read, with the time at which they are ended. */
  private readonly retiring = new Map<PeerLink, number>();
  private isClosed = false;

  constructor(private readonly options: LinkManagerOptions) {}

  getOrCreateContact(id: InstanceId): PeerContact {
    let contact = this.contacts.get(id);
    if (contact === undefined) {
      contact = new PeerContact(id);
      this.contacts.set(id, contact);
    }
    return contact;
  }

  /**
   * Opens a link unless one is open or being opened, or the backoff still runs.
   */
  dial(contact: PeerContact, address: string): void {
    const nowMs = this.options.events.readNowMs();
    if (this.isClosed) return;
    if (contact.isConnected || contact.dialling !== undefined) return;
    if (nowMs < contact.nextDialMs) return;
    const {credentials, sharedSecret, service, events} = this.options;
    const link = new DialledLink({
      owner: this,
      address,
      credentials: credentials.channel,
      sharedSecret,
      service,
      readNowMs: events.readNowMs,
      heartbeatMs: this.options.heartbeatMs,
      onProven: proven => events.sendHello(proven),
    });
    contact.dialling = link;
    this.dialledTo.set(link, contact);
  }

  /** Accepts a link that another process opened. */
  accept(link: PeerLink): void {
    this.unidentified.add(link);
  }

  onFrame(link: PeerLink, frame: PeerFrame): void {
    link.lastHeardMs = this.options.events.readNowMs();
    if (frame.records.length > 0) link.lastRecordMs = link.lastHeardMs;
    if (link.peer === undefined && !this.open(link, frame.hello)) return;
    const contact = this.contacts.get(link.peer!.id);
    if (contact !== undefined) {
      this.options.events.onFrame(contact, link.peer!, frame);
    }
  }

  onEnd(link: PeerLink, reason: LinkEnd, detail: string): void {
    const {events, random} = this.options;
    this.endCounts[reason] = (this.endCounts[reason] ?? 0) + 1;
    this.unidentified.delete(link);
    this.retiring.delete(link);
    const contact =
      this.dialledTo.get(link) ??
      (link.peer && this.contacts.get(link.peer.id));
    this.dialledTo.delete(link);
    events.log('link_ended', {peer: contact?.id, reason, detail});
    if (contact === undefined) return;
    if (contact.dialling === link) {
      contact.dialling = undefined;
      contact.noteFailedDial(events.readNowMs(), random);
      if (!contact.isConnected) events.onUnreachable(contact);
    } else if (contact.link === link) {
      contact.link = undefined;
      events.onLost(contact, reason);
    }
  }

  /** Ends links that have gone silent, timed out or are no longer used. */
  sweep(neighbours: ReadonlySet<InstanceId>): void {
    const {events, heartbeatMs} = this.options;
    const silentAfterMs = heartbeatMs * SILENT_AFTER_INTERVALS;
    const nowMs = events.readNowMs();
    this.endTimedOut(this.dialledTo.keys(), CONNECT_STEP_TIMEOUT_INTERVALS);
    this.endTimedOut(this.unidentified, HELLO_TIMEOUT_INTERVALS);
    for (const [link, endMs] of this.retiring) {
      if (nowMs >= endMs) link.end('duplicate');
    }
    for (const contact of this.contacts.values()) {
      const {link} = contact;
      if (link === undefined) continue;
      // A firewall or NAT between the two ends may have dropped the connection
      // while the kernel still takes it for open. Without this check, nothing
      // but requests that wait for ever would show it.
      if (nowMs - link.lastHeardMs > silentAfterMs) link.end('silent');
      else if (!link.isDialled || neighbours.has(contact.id)) continue;
      else if (this.isIdle(link, nowMs)) link.end('idle');
    }
  }

  /** Ends links whose other side takes too long with the next opening step. */
  private endTimedOut(
    links: Iterable<PeerLink>,
    timeoutIntervals: number,
  ): void {
    const {events, heartbeatMs} = this.options;
    const sinceMs = events.readNowMs() - heartbeatMs * timeoutIntervals;
    for (const link of [...links]) {
      if (link.peer !== undefined || link.lastHeardMs > sinceMs) continue;
      link.end('connect_timeout');
    }
  }

  private isIdle(link: PeerLink, nowMs: number): boolean {
    if (link.lastRecordMs !== undefined) {
      return nowMs - link.lastRecordMs > IDLE_TIMEOUT_MS;
    }
    const unusedTimeoutMs = this.options.heartbeatMs * UNUSED_TIMEOUT_INTERVALS;
    return nowMs - link.openedMs > unusedTimeoutMs;
  }

  /** Removes contacts of unknown instances without a link or a dial. */
  forget(isKnown: (id: InstanceId) => boolean): void {
    for (const [id, contact] of this.contacts) {
      if (contact.isConnected || contact.dialling || isKnown(id)) continue;
      this.contacts.delete(id);
    }
  }

  /** Ends all links and opens no more. */
  close(): void {
    this.isClosed = true;
    for (const link of this.unidentified) link.end('closed');
    for (const link of this.retiring.keys()) link.end('closed');
    for (const contact of this.contacts.values()) {
      contact.dialling?.end('closed');
      contact.link?.end('closed');
    }
  }

  /**
   * Lets a duplicate stream run out. Both sides choose the same one of two
   * streams, though not at the same moment: until a side has seen both, it may
   * send over the duplicate. If this side ended it, records in transit would be
   * lost, and a request would wait for an answer to a record that never arrived.
   * So the dialler of the duplicate only signals that no more frames come, and
   * the other side, once it has read up to that signal, ends the stream after
   * its own last record.
   */
  private retire(link: PeerLink): void {
    const {events, heartbeatMs} = this.options;
    link.finishSending();
    const retiringTimeoutMs = heartbeatMs * RETIRING_TIMEOUT_INTERVALS;
    this.retiring.set(link, events.readNowMs() + retiringTimeoutMs);
  }

  /** Handles the first frame. Returns false when the link is not to be used. */
  private open(link: PeerLink, hello: Hello | undefined): boolean {
    const {events} = this.options;
    const self = events.describeSelf();
    if (hello === undefined || hello.id === self.id) {
      link.end('refused', 'The first frame is no hello of another instance.');
      return false;
    }
    link.peer = hello;
    this.unidentified.delete(link);
    if (!link.isDialled) events.sendHello(link);
    const dialled = this.dialledTo.get(link);
    const contact = this.getOrCreateContact(hello.id);
    if (dialled !== undefined && dialled !== contact) {
      // The address now belongs to another instance.
      dialled.dialling = undefined;
      dialled.noteFailedDial(events.readNowMs(), this.options.random);
    }
    const duplicate = contact.adopt(link, self.id, events.readNowMs());
    if (duplicate !== undefined) this.retire(duplicate);
    if (duplicate === link) return false;
    this.dialledTo.delete(link);
    events.log('link_opened', {peer: hello.id, isDialled: link.isDialled});
    events.onOpened(contact, hello);
    return true;
  }
}
