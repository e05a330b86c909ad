/**
 * Messages between this entry instance and the others, and who they are. The
 * task owns its listener, its streams, its queues and its timers.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import {ActiveClock} from './active_clock.js';
import type {Hello} from './frame_codec.js';
import {FrameCounter} from './frame_counter.js';
import {FrameReceiver} from './frame_receiver.js';
import {FrameSender} from './frame_sender.js';
import {LinkKeeper} from './link_keeper.js';
import {MemberDialler} from './member_dialler.js';
import {Membership} from './membership.js';
import {NetworkHandlers} from './network_handlers.js';
import {
  createIncarnation,
  describeStart,
  type LogHandler,
  type MemberChangeHandler,
  type PeerNetworkOptions,
  type RecordHandler,
  type RevisionHandler,
  type UndeliveredHandler,
} from './network_options.js';
import {describeNetwork, type NetworkSnapshot} from './network_snapshot.js';
import {findNeighbours} from './overlay.js';
import type {PeerContact} from './peer_contact.js';
import {readPeerCredentials} from './peer_credentials.js';
import type {LinkEnd, PeerLink} from './peer_link.js';
import {AcceptedLink, PeerListener} from './peer_listener.js';
import type {PeerRecord} from './records.js';
import {RumourLog} from './rumour_log.js';

/** Kinds that may wait for the next tick, to save frames. */
const PATIENT_KINDS: ReadonlySet<PeerRecord['kind']> = new Set([
  'progress',
  'in_use',
  'usage_copy',
]);

/**
 * @example
 * const network = new PeerNetwork({settings: settings.peer, id, dataCentre});
 * network.onRecords((record, from) => handle(record, from.id));
 * await network.start();
 * network.seed(listed);
 * network.send(owner, {kind: 'ask', ask});
 */
export class PeerNetwork {
  private readonly settings: EntrySettings['peer'];
  private readonly id: InstanceId;
  private readonly clock: ActiveClock;
  private readonly log: LogHandler;
  private readonly counter = new FrameCounter();
  private readonly sender: FrameSender;
  private readonly receiver: FrameReceiver;
  private readonly keeper: LinkKeeper;
  private readonly listener: PeerListener;
  private readonly rumours: RumourLog;
  private readonly dialler: MemberDialler;
  private readonly handlers = new NetworkHandlers();
  private readonly membership: Membership;
  private neighbours: ReadonlySet<InstanceId> = new Set();
  private beatTimer?: NodeJS.Timeout;
  private strangers = 0;
  private isStopping = false;

  constructor(private readonly options: PeerNetworkOptions) {
    const {settings, id} = options;
    this.settings = settings;
    this.id = id;
    const random = options.random ?? Math.random;
    this.log = options.log ?? (() => undefined);
    this.clock = new ActiveClock({
      readMonotonicMs: options.readMonotonicMs,
      longestGapMs: settings.heartbeatMs * 2,
    });
    const incarnation = options.incarnation ?? createIncarnation();
    this.rumours = new RumourLog(incarnation);
    this.membership = new Membership({
      self: describeStart(options, incarnation),
      suspectAfterMs: settings.suspectAfterMs,
      deadAfterMs: settings.deadAfterMs,
    });
    const credentials = readPeerCredentials(settings.tls);
    const service = this.counter.wrapDefinition();
    this.listener = new PeerListener({
      host: settings.host,
      port: settings.port,
      credentials: credentials.server,
      sharedSecret: settings.sharedSecret,
      service,
      heartbeatMs: settings.heartbeatMs,
      onAccepted: call => {
        this.keeper.accept(
          new AcceptedLink(this.keeper, call, this.clock.readMs()),
        );
      },
      onStranger: address => this.noteStranger(address),
    });
    this.keeper = new LinkKeeper({
      events: {
        readNowMs: () => this.clock.readMs(),
        describeSelf: () => this.describeSelf(),
        sayHello: link => this.sayHello(link),
        onOpened: (contact, hello) => this.noteOpened(contact, hello),
        onFrame: (contact, from, frame) =>
          this.receiver.take(contact, from, frame),
        onLost: (contact, reason) => this.noteLost(contact, reason),
        onUnreachable: contact => this.dropOutgoing(contact),
        log: this.log,
      },
      credentials,
      sharedSecret: settings.sharedSecret,
      service,
      random,
      heartbeatMs: settings.heartbeatMs,
    });
    const readNowMs = () => this.clock.readMs();
    this.sender = new FrameSender({
      membership: this.membership,
      keeper: this.keeper,
      tickMs: settings.tickMs,
      heartbeatMs: settings.heartbeatMs,
      readNowMs,
    });
    this.receiver = new FrameReceiver({
      membership: this.membership,
      handlers: this.handlers,
      rumours: this.rumours,
      sender: this.sender,
      readNowMs,
      publishChanges: () => this.publishChanges(),
    });
    this.dialler = new MemberDialler({
      membership: this.membership,
      keeper: this.keeper,
      random,
      heartbeatMs: settings.heartbeatMs,
    });
  }

  /** Listens and starts to beat. Rejects when the port can't be had. */
  async start(): Promise<void> {
    await this.listener.listen();
    this.membership.setAddress(this.address());
    this.beatTimer = setInterval(() => this.beat(), this.settings.heartbeatMs);
    this.log('peer_listening', {address: this.address()});
  }

  /** Where other instances reach this one. */
  address(): string {
    return this.settings.advertisedAddress ?? this.listener.address;
  }

  /** Tells the others that this instance is about to stop; it goes on. */
  leave(): void {
    this.membership.leave();
    this.sender.flush();
  }

  /** Sends what is queued, gives it a tick to leave, and closes everything. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    clearInterval(this.beatTimer);
    this.sender.flush();
    // Closing a stream resets it. Frames that are not with the kernel by then
    // would be lost, the last releases among them, and their permits stay in
    // use until the owner misses this instance.
    await sleep(this.settings.tickMs);
    this.sender.stop();
    this.keeper.close();
    this.listener.close();
  }

  onRecords(handler: RecordHandler): void {
    this.handlers.onRecords.push(handler);
  }

  onMembersChanged(handler: MemberChangeHandler): void {
    this.handlers.onMembersChanged.push(handler);
  }

  onRevisionSeen(handler: RevisionHandler): void {
    this.handlers.onRevisionSeen.push(handler);
  }

  onUndelivered(handler: UndeliveredHandler): void {
    this.handlers.onUndelivered.push(handler);
  }

  self(): Member {
    return this.membership.self;
  }

  /** All known members, this instance first; dead ones too for a while. */
  members(): Member[] {
    return [this.membership.self, ...this.membership.others()];
  }

  /** Whether a stream to the instance is open. */
  isConnected(instance: InstanceId): boolean {
    return this.keeper.contacts.get(instance)?.isConnected ?? false;
  }

  /** The platform's list of instances: where to look for members. */
  seed(listed: readonly ListedInstance[]): void {
    this.dialler.seed(listed, this.clock.readMs());
  }

  /** This instance has the revision in force; told with the next frames. */
  setRevision(revision: Revision): void {
    if (revision <= this.membership.self.revision) return;
    this.membership.setRevision(revision);
    for (const contact of this.keeper.contacts.values()) {
      contact.owesRevision = contact.isConnected;
    }
    this.sender.schedule(true);
  }

  /**
   * Queues a record for one instance and opens a stream to it if there is none.
   * False when the instance is not known, is held dead or reads too slowly:
   * the record is not sent.
   */
  send(instance: InstanceId, record: PeerRecord): boolean {
    const member = this.membership.get(instance);
    if (member === undefined || member.state === 'dead') return false;
    const contact = this.keeper.contactOf(instance);
    if (!contact.queue(record)) return false;
    this.keeper.dial(contact, member.peerAddress);
    this.sender.schedule(!PATIENT_KINDS.has(record.kind));
    return true;
  }

  /** Queues a record for the neighbours: a few instances, whatever the size. */
  sendToNeighbours(record: PeerRecord): void {
    for (const neighbour of this.neighbours) this.send(neighbour, record);
  }

  /** Tells all instances, by way of the neighbours; each hears it once. */
  broadcast(record: PeerRecord): void {
    const rumour = {id: this.rumours.issueId(), record};
    for (const contact of this.sender.linked()) contact.queueRumour(rumour);
    this.sender.schedule(true);
  }

  /** What the dump shows. */
  snapshot(): NetworkSnapshot {
    return describeNetwork({
      address: this.address(),
      listenAddress: this.listener.address,
      members: this.members(),
      neighbours: [...this.neighbours],
      keeper: this.keeper,
      counter: this.counter,
      nowMs: this.clock.readMs(),
      strangersRefused: this.strangers,
      refutations: this.membership.refutationCount,
      pausedMs: this.clock.totalPausedMs,
    });
  }

  private describeSelf(): Hello {
    const {id, incarnation, dataCentre, peerAddress, heartbeat} =
      this.membership.self;
    const knownMembers = this.membership.others().length + 1;
    return {id, incarnation, dataCentre, peerAddress, heartbeat, knownMembers};
  }

  private sayHello(link: PeerLink): void {
    const hello = this.describeSelf();
    const {revision} = this.membership.self;
    const frame = {hello, revision, members: [], records: []};
    link.send(frame, this.clock.readMs());
  }

  private noteOpened(contact: PeerContact, hello: Hello): void {
    this.membership.openStream(hello, this.clock.readMs());
    this.publishChanges();
    if (contact.hasOutgoing || this.membership.hasNews(contact.id)) {
      this.sender.schedule(true);
    }
  }

  private noteLost(contact: PeerContact, reason: LinkEnd): void {
    this.membership.closeStream(contact.id);
    // The higher id waits a beat, lest both dial at the same moment.
    const isTurn = this.neighbours.has(contact.id) && this.id < contact.id;
    const isWanted = isTurn || contact.hasOutgoing;
    if (reason !== 'idle' && isWanted) this.dialler.dialMember(contact.id);
  }

  private noteStranger(address: string): void {
    this.strangers += 1;
    this.log('peer_refused', {address, reason: 'wrong shared secret'});
  }

  private dropOutgoing(contact: PeerContact): void {
    contact.takeRumours();
    this.handlers.tellUndelivered(contact.id, contact.takeRecords());
  }

  private publishChanges(): void {
    const changes = this.membership.takeChanges();
    if (changes.length === 0) return;
    this.neighbours = new Set(
      findNeighbours(this.membership.self, this.membership.others()),
    );
    for (const {member, previous} of changes) {
      const isOtherLife = previous?.incarnation !== member.incarnation;
      if (member.state !== 'dead' && !isOtherLife) continue;
      // What was queued for a life that has ended means nothing to the next.
      const contact = this.keeper.contacts.get(member.id);
      if (contact !== undefined) this.dropOutgoing(contact);
    }
    this.handlers.tellChanges(changes);
  }

  /** Once every heartbeat interval. */
  private beat(): void {
    const nowMs = this.clock.readMs();
    this.keeper.sweep(this.neighbours);
    const watched = new Set(this.neighbours);
    const spared = new Set<InstanceId>();
    for (const contact of this.keeper.contacts.values()) {
      if (contact.isConnected) watched.add(contact.id);
      const isFirstDial = contact.failedDials === 0;
      if (contact.dialling && isFirstDial) spared.add(contact.id);
    }
    this.membership.tick(nowMs, watched, spared);
    this.publishChanges();
    this.dialler.dialNeighbours(this.neighbours, nowMs);
    this.dialler.dialWaiting();
    this.dialler.dialSeeds(nowMs);
    this.keeper.forget(id => this.membership.get(id) !== undefined);
    this.sender.flush(true);
  }
}
