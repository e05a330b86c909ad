/**
 * The parts of a network, made and joined: what each is told when a link opens,
 * carries a frame or ends, and when a stranger calls.
 */

import type {ServiceDefinition} from '@grpc/grpc-js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import {ActiveClock} from './active_clock.js';
import type {Hello} from './frame_codec.js';
import {FrameCounter} from './frame_counter.js';
import {FrameReceiver} from './frame_receiver.js';
import {FrameSender} from './frame_sender.js';
import {LinkKeeper} from './link_keeper.js';
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
 * Holds the parts; who uses them starts the listener and lets time pass.
 *
 * @example
 * const {listener, keeper} = new NetworkParts(options);
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
  readonly keeper: LinkKeeper;
  readonly watch: MemberWatch;
  readonly sender: FrameSender;
  readonly dialler: MemberDialler;
  private readonly receiver: FrameReceiver;
  private readonly settings: EntrySettings['peer'];
  private readonly id: InstanceId;
  private strangers = 0;

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
    this.keeper = this.createKeeper(credentials, service, random);
    const {membership, keeper, handlers} = this;
    this.watch = new MemberWatch({membership, keeper, handlers});
    this.sender = new FrameSender({
      membership,
      keeper,
      tickMs,
      heartbeatMs,
      readNowMs: () => this.clock.readMs(),
    });
    this.receiver = this.createReceiver();
    this.dialler = new MemberDialler({membership, keeper, random, heartbeatMs});
  }

  /** How many callers didn't know the shared secret. */
  get strangersRefused(): number {
    return this.strangers;
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
        this.keeper.accept(
          new AcceptedLink(this.keeper, call, this.clock.readMs()),
        );
      },
      onStranger: address => this.noteStranger(address),
    });
  }

  private createKeeper(
    credentials: PeerCredentials,
    service: ServiceDefinition,
    random: () => number,
  ): LinkKeeper {
    const {sharedSecret, heartbeatMs} = this.settings;
    return new LinkKeeper({
      events: {
        readNowMs: () => this.clock.readMs(),
        describeSelf: () => this.describeSelf(),
        sayHello: link => this.sayHello(link),
        onOpened: (contact, hello) => this.noteOpened(contact, hello),
        onFrame: (contact, from, frame) =>
          this.receiver.take(contact, from, frame),
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

  private sayHello(link: PeerLink): void {
    const hello = this.describeSelf();
    const {revision} = this.membership.self;
    const frame = {hello, revision, members: [], records: []};
    link.send(frame, this.clock.readMs());
  }

  private noteOpened(contact: PeerContact, hello: Hello): void {
    this.membership.openStream(hello, this.clock.readMs());
    this.watch.publishChanges();
    if (contact.hasOutgoing || this.membership.hasNews(contact.id)) {
      this.sender.schedule(true);
    }
  }

  private noteLost(contact: PeerContact, reason: LinkEnd): void {
    this.membership.closeStream(contact.id);
    // The higher id waits a beat, lest both dial at the same moment.
    const isTurn =
      this.watch.neighbours.has(contact.id) && this.id < contact.id;
    const isWanted = isTurn || contact.hasOutgoing;
    if (reason !== 'idle' && isWanted) this.dialler.dialMember(contact.id);
  }

  private noteStranger(address: string): void {
    this.strangers += 1;
    this.log('peer_refused', {address, reason: 'wrong shared secret'});
  }
}
