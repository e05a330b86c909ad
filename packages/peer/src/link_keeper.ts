/**
 * Opens, replaces and closes the links: at most one a pair of processes, and
 * none that has gone silent.
 */

import type {ServiceDefinition} from '@grpc/grpc-js';
import type {InstanceId} from '@snipestage/types/ids.js';
import {DialledLink} from './dialled_link.js';
import type {Hello, PeerFrame} from './frame_codec.js';
import type {PeerCredentials} from './peer_credentials.js';
import {PeerContact} from './peer_contact.js';
import type {LinkEnd, LinkOwner, PeerLink} from './peer_link.js';

const SILENT_AFTER_BEATS = 3.5;
/**
 * For each step of opening a link: connection, proof, hello. An instance that is
 * gone or frozen gives no sign after the first or none at all. One that is busy
 * or far away takes its time with each: were the time for all of them together,
 * each dial to it would be given up and what waits for it handed back, again and
 * again, and a request would get no permit though its owner is there.
 */
const CONNECT_TIMEOUT_BEATS = 2;
/** Nothing waits for a link whose other side has yet to say hello. */
const HELLO_TIMEOUT_BEATS = 10;
/** A duplicate that its dialler hasn't closed by then leads nowhere any more. */
const LONGEST_LINGER_BEATS = 10;
/** A stream over which records went may well be used again. */
const IDLE_CLOSE_MS = 60_000;
/** One that was opened to find members has done its part. */
const UNUSED_CLOSE_BEATS = 10;

/** What the keeper asks of and tells the network. */
export interface LinkEvents {
  readonly readNowMs: () => number;
  readonly describeSelf: () => Hello;
  readonly sayHello: (link: PeerLink) => void;
  readonly onOpened: (contact: PeerContact, hello: Hello) => void;
  readonly onFrame: (
    contact: PeerContact,
    from: Hello,
    frame: PeerFrame,
  ) => void;
  readonly onLost: (contact: PeerContact, reason: LinkEnd) => void;
  /** Every dial to it failed: what was queued for it is not delivered. */
  readonly onUnreachable: (contact: PeerContact) => void;
  readonly log: (
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** What a {@link LinkKeeper} is made from. */
export interface LinkKeeperOptions {
  readonly events: LinkEvents;
  readonly credentials: PeerCredentials;
  readonly sharedSecret: string;
  readonly service: ServiceDefinition;
  readonly random: () => number;
  readonly heartbeatMs: number;
}

export class LinkKeeper implements LinkOwner {
  readonly contacts = new Map<InstanceId, PeerContact>();
  /** How often links ended, by reason. */
  readonly ends: {[Reason in LinkEnd]?: number} = {};
  /** Links over which nobody has said hello yet. */
  private readonly anonymous = new Set<PeerLink>();
  private readonly dialledTo = new Map<PeerLink, PeerContact>();
  /** Duplicates that are still read, with the time at which they end. */
  private readonly retiring = new Map<PeerLink, number>();
  private isClosed = false;

  constructor(private readonly options: LinkKeeperOptions) {}

  contactOf(id: InstanceId): PeerContact {
    let contact = this.contacts.get(id);
    if (contact === undefined) {
      contact = new PeerContact(id);
      this.contacts.set(id, contact);
    }
    return contact;
  }

  /** Opens a link unless there is one, one is being opened or it is too soon. */
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
      onProven: proven => events.sayHello(proven),
    });
    contact.dialling = link;
    this.dialledTo.set(link, contact);
  }

  /** Takes a link that another process opened. */
  accept(link: PeerLink): void {
    this.anonymous.add(link);
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
    this.ends[reason] = (this.ends[reason] ?? 0) + 1;
    this.anonymous.delete(link);
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

  /** Ends what has gone silent, timed out or is no longer used. */
  sweep(neighbours: ReadonlySet<InstanceId>): void {
    const {events, heartbeatMs} = this.options;
    const silentAfterMs = heartbeatMs * SILENT_AFTER_BEATS;
    const nowMs = events.readNowMs();
    this.endUnopened(this.dialledTo.keys(), CONNECT_TIMEOUT_BEATS);
    this.endUnopened(this.anonymous, HELLO_TIMEOUT_BEATS);
    for (const [link, endMs] of this.retiring) {
      if (nowMs >= endMs) link.end('duplicate');
    }
    for (const contact of this.contacts.values()) {
      const {link} = contact;
      if (link === undefined) continue;
      // The connection may be up as far as the kernel knows, while something
      // between the two ends has forgotten it. Nothing else would show it but
      // requests that wait for ever.
      if (nowMs - link.lastHeardMs > silentAfterMs) link.end('silent');
      else if (!link.isDialled || neighbours.has(contact.id)) continue;
      else if (this.isIdle(link, nowMs)) link.end('idle');
    }
  }

  /** Ends links whose other side takes too long with the next step. */
  private endUnopened(links: Iterable<PeerLink>, timeoutBeats: number): void {
    const {events, heartbeatMs} = this.options;
    const sinceMs = events.readNowMs() - heartbeatMs * timeoutBeats;
    for (const link of [...links]) {
      if (link.peer !== undefined || link.lastHeardMs > sinceMs) continue;
      link.end('connect_timeout');
    }
  }

  private isIdle(link: PeerLink, nowMs: number): boolean {
    if (link.lastRecordMs !== undefined) {
      return nowMs - link.lastRecordMs > IDLE_CLOSE_MS;
    }
    const unusedCloseMs = this.options.heartbeatMs * UNUSED_CLOSE_BEATS;
    return nowMs - link.openedMs > unusedCloseMs;
  }

  /** Forgets contacts that hold nothing. */
  forget(isKnown: (id: InstanceId) => boolean): void {
    for (const [id, contact] of this.contacts) {
      if (contact.isConnected || contact.dialling || isKnown(id)) continue;
      this.contacts.delete(id);
    }
  }

  /** Ends all links and opens no more. */
  close(): void {
    this.isClosed = true;
    for (const link of this.anonymous) link.end('closed');
    for (const link of this.retiring.keys()) link.end('closed');
    for (const contact of this.contacts.values()) {
      contact.dialling?.end('closed');
      contact.link?.end('closed');
    }
  }

  /**
   * Both sides choose the same stream of two, though not at the same moment:
   * until it has seen both, one may send over the one that is to go. Ended by
   * this side, the loser would take along what is still under way, and a request
   * would wait for an answer to what was never heard. So its dialler only says
   * that nothing more will come, and the other side, once it has read all up to
   * that, ends the stream behind its own last record.
   */
  private retire(link: PeerLink): void {
    const {events, heartbeatMs} = this.options;
    link.finishSending();
    const lingerMs = heartbeatMs * LONGEST_LINGER_BEATS;
    this.retiring.set(link, events.readNowMs() + lingerMs);
  }

  /** The first frame has come. False when the link is not to be used. */
  private open(link: PeerLink, hello: Hello | undefined): boolean {
    const {events} = this.options;
    const self = events.describeSelf();
    if (hello === undefined || hello.id === self.id) {
      link.end('refused', 'No other instance said hello.');
      return false;
    }
    link.peer = hello;
    this.anonymous.delete(link);
    if (!link.isDialled) events.sayHello(link);
    const dialled = this.dialledTo.get(link);
    const contact = this.contactOf(hello.id);
    if (dialled !== undefined && dialled !== contact) {
      // Another instance has the address now.
      dialled.dialling = undefined;
      dialled.noteFailedDial(events.readNowMs(), this.options.random);
    }
    const loser = contact.adopt(link, self.id, events.readNowMs());
    if (loser !== undefined) this.retire(loser);
    if (loser === link) return false;
    this.dialledTo.delete(link);
    events.log('link_opened', {peer: hello.id, isDialled: link.isDialled});
    events.onOpened(contact, hello);
    return true;
  }
}
