/**
 * Creates the parts of a network and wires them: which part is called when a
 * link opens, carries a frame or ends, and when a caller fails authentication.
 */

import type {ServiceDefinition} from '@grpc/grpc-js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import {ActiveClock} from './active_clock.js';
import type {Hello} from './frame_codec.js';
import {FrameCounter} from './frame_counter.js';
import {FrameReceiver} from './frame_receiver.js';
import {FrameSender} from './frame_sender.js';
import {LinkManager} from './link_manager.js';
import {MemberDialler} from './member_dialler.js';
import {MemberWatch} from './member_watch.js';
import {Membership} from './membership.js';
import {NetworkHandlers} from './network_handlers.js';
import {
  createIncarnation,
  describeStart,
  type LogHandler,
  type PeerNetworkOptions,
} from './network_options.js';
import type {PeerContact} from './peer_contact.js';
import {readPeerCredentials, type PeerCredentials} from './peer_credentials.js';
import type {LinkEnd, PeerLink} from './peer_link.js';
import {AcceptedLink, PeerListener} from './peer_listener.js';
import {RumourLog} from './rumour_log.js';

/**
 * Holds the parts. The caller starts the listener and runs the periodic work.
 *
 * @example
 * const {listener, linkManager} = new NetworkParts(options);
 * await listener.listen();
 */
export class NetworkParts {
  readonly clock: ActiveClock;
  readonly log: LogHandler;
  readonly counter = new FrameCounter();
  readonly handlers = new NetworkHandlers();
  readonly rumours: RumourLog;
  readonly membership: Membership;
  readonly listener: PeerListener;
  readonly linkManager: LinkManager;
  readonly watch: MemberWatch;
  readonly sender: FrameSender;
  readonly dialler: MemberDialler;
  private readonly receiver: FrameReceiver;
  private readonly settings: EntrySettings['peer'];
  private readonly id: InstanceId;
  private unauthenticatedCalls = 0;

  constructor(options: PeerNetworkOptions) {
    const {settings, id} = options;
    const {heartbeatMs, tickMs} = settings;
    this.settings = settings;
    this.id = id;
    this.log = options.log ?? (() => undefined);
    this.clock = new ActiveClock({
      readMonotonicMs: options.readMonotonicMs,
      longestGapMs: heartbeatMs * 2,
    });
    const incarnation = options.incarnation ?? createIncarnation();
    const random = options.random ?? Math.random;
    const credentials = readPeerCredentials(settings.tls);
    const service = this.counter.wrapDefinition();
    this.rumours = new RumourLog(incarnation);
    this.membership = new Membership({
      self: describeStart(options, incarnation),
      suspectAfterMs: settings.suspectAfterMs,
      deadAfterMs: settings.deadAfterMs,
    });
    this.listener = this.createListener(credentials, service);
    this.linkManager = this.createLinkManager(credentials, service, random);
    const {membership, linkManager, handlers} = this;
    this.watch = new MemberWatch({membership, linkManager, handlers});
    this.sender = new FrameSender({
      membership,
      linkManager,
      tickMs,
      heartbeatMs,
      readNowMs: () => this.clock.readMs(),
    });
    this.receiver = this.createReceiver();
    this.dialler = new MemberDialler({
      membership,
      linkManager,
      random,
      heartbeatMs,
    });
  }

  /** How many streams were refused for a wrong shared secret. */
  get strangersRefused(): number {
    return this.unauthenticatedCalls;
  }

  private createListener(
    credentials: PeerCredentials,
    service: ServiceDefinition,
  ): PeerListener {
    const {host, port, sharedSecret, heartbeatMs} = this.settings;
    return new PeerListener({
      host,
      port,
      credentials: credentials.server,
      sharedSecret,
      service,
      heartbeatMs,
      onAccepted: call => {
        this.linkManager.accept(
          new AcceptedLink(this.linkManager, call, this.clock.readMs()),
        );
      },
      onUnauthenticated: address => this.noteUnauthenticated(address),
    });
  }

  private createLinkManager(
    credentials: PeerCredentials,
    service: ServiceDefinition,
    random: () => number,
  ): LinkManager {
    const {sharedSecret, heartbeatMs} = this.settings;
    return new LinkManager({
      events: {
        readNowMs: () => this.clock.readMs(),
        describeSelf: () => this.describeSelf(),
        sendHello: link => this.sendHello(link),
        onOpened: (contact, hello) => this.noteOpened(contact, hello),
        onFrame: (contact, from, frame) =>
          this.receiver.receive(contact, from, frame),
        onLost: (contact, reason) => this.noteLost(contact, reason),
        onUnreachable: contact => this.watch.dropOutgoing(contact),
        log: this.log,
      },
      credentials,
      sharedSecret,
      service,
      random,
      heartbeatMs,
    });
  }

  private createReceiver(): FrameReceiver {
    const {membership, handlers, rumours, sender} = this;
    return new FrameReceiver({
      membership,
      handlers,
      rumours,
      sender,
      readNowMs: () => this.clock.readMs(),
      publishChanges: () => this.watch.publishChanges(),
    });
  }

  private describeSelf(): Hello {
    const {id, incarnation, dataCentre, peerAddress, heartbeat} =
      this.membership.self;
    const knownMembers = this.membership.others().length + 1;
    return {id, incarnation, dataCentre, peerAddress, heartbeat, knownMembers};
  }

  private sendHello(link: PeerLink): void {
    const hello = this.describeSelf();
    const {revision} = this.membership.self;
    const frame = {hello, revision, members: [], records: []};
    link.send(frame, this.clock.readMs());
  }

  private noteOpened(contact: PeerContact, hello: Hello): void {
    this.membership.openStream(hello, this.clock.readMs());
    this.watch.publishChanges();
    if (contact.hasOutgoing || this.membership.hasUrgentUpdates(contact.id)) {
      this.sender.schedule(true);
    }
  }

  private noteLost(contact: PeerContact, reason: LinkEnd): void {
    this.membership.closeStream(contact.id);
    // Without queued records only the lower id dials at once, and the higher one
    // waits a heartbeat interval, so that both do not dial at the same moment.
    const isOwnTurn =
      this.watch.neighbours.has(contact.id) && this.id < contact.id;
    const isWanted = isOwnTurn || contact.hasOutgoing;
    if (reason !== 'idle' && isWanted) this.dialler.dialMember(contact.id);
  }

  private noteUnauthenticated(address: string): void {
    this.unauthenticatedCalls += 1;
    this.log('peer_refused', {address, reason: 'wrong shared secret'});
  }
}
