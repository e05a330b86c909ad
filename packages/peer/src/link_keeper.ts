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

/** What the keeper asks of and tells the network. */
export interface LinkEvents {
  readonly readNowMs: () => number;
  readonly describeSelf: () => Hello;
  readonly sayHello: (link: PeerLink) => void;
  readonly onOpened: (contact: PeerContact, hello: Hello) => void;
  readonly onFrame: (contact: PeerContact, frame: PeerFrame) => void;
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
  readonly connectTimeoutMs: number;
  readonly silentAfterMs: number;
  readonly idleCloseMs: number;
}

export class LinkKeeper implements LinkOwner {
  readonly contacts = new Map<InstanceId, PeerContact>();
  /** How often links ended, by reason. */
  readonly ends: {[Reason in LinkEnd]?: number} = {};
  /** Links over which nobody has said hello yet. */
  private readonly anonymous = new Set<PeerLink>();
  private readonly dialledTo = new Map<PeerLink, PeerContact>();
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
      nowMs,
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
    if (contact !== undefined) this.options.events.onFrame(contact, frame);
  }

  onEnd(link: PeerLink, reason: LinkEnd, detail: string): void {
    const {events, random} = this.options;
    this.ends[reason] = (this.ends[reason] ?? 0) + 1;
    this.anonymous.delete(link);
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
    const {events, connectTimeoutMs, silentAfterMs, idleCloseMs} = this.options;
    const nowMs = events.readNowMs();
    const opening = [...this.anonymous, ...this.dialledTo.keys()];
    for (const link of opening) {
      if (link.peer !== undefined) continue;
      if (nowMs - link.openedMs < connectTimeoutMs) continue;
      link.end('connect_timeout');
    }
    for (const contact of this.contacts.values()) {
      const {link} = contact;
      if (link === undefined) continue;
      // The connection may be up as far as the kernel knows, while something
      // between the two ends has forgotten it. Nothing else would show it but
      // requests that wait for ever.
      if (nowMs - link.lastHeardMs > silentAfterMs) link.end('silent');
      else if (!link.isDialled || neighbours.has(contact.id)) continue;
      else if (nowMs - link.lastRecordMs > idleCloseMs) link.end('idle');
    }
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
    for (const contact of this.contacts.values()) {
      contact.dialling?.end('closed');
      contact.link?.end('closed');
    }
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
    loser?.end('duplicate');
    if (loser === link) return false;
    this.dialledTo.delete(link);
    events.log('link_opened', {peer: hello.id, isDialled: link.isDialled});
    events.onOpened(contact, hello);
    return true;
  }
}
