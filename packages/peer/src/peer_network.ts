/**
 * Messages between this entry instance and the others, and membership. A
 * network owns its listener, its streams, its queues and its timers.
 */

import {setTimeout as sleep} from 'node:timers/promises';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import type {
  MemberChangeHandler,
  PeerNetworkOptions,
  RecordHandler,
  RevisionHandler,
  UndeliveredHandler,
} from './network_options.js';
import {NetworkParts} from './network_parts.js';
import {describeNetwork, type NetworkSnapshot} from './network_snapshot.js';
import type {PeerRecord} from './records.js';

/** Kinds of records that may wait for a whole tick, to save frames. */
const DEFERRABLE_KINDS: ReadonlySet<PeerRecord['kind']> = new Set([
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
  private readonly parts: NetworkParts;
  private heartbeatTimer?: NodeJS.Timeout;
  private isStopping = false;

  constructor(options: PeerNetworkOptions) {
    this.settings = options.settings;
    this.parts = new NetworkParts(options);
  }

  /**
   * Listens and starts the heartbeats. Rejects when the port can't be bound.
   */
  async start(): Promise<void> {
    const {listener, membership, log} = this.parts;
    await listener.listen();
    membership.setAddress(this.address());
    this.heartbeatTimer = setInterval(
      () => this.onHeartbeatTimer(),
      this.settings.heartbeatMs,
    );
    log('peer_listening', {address: this.address()});
  }

  /** Address at which other instances reach this one. */
  address(): string {
    return this.settings.advertisedAddress ?? this.parts.listener.address;
  }

  /** Publishes that this instance is about to stop; it goes on running. */
  leave(): void {
    this.parts.membership.leave();
    this.parts.sender.flush();
  }

  /** Sends what is queued, waits a tick for it to go out, closes everything. */
  async stop(): Promise<void> {
    const {sender, linkManager, listener} = this.parts;
    if (this.isStopping) return;
    this.isStopping = true;
    clearInterval(this.heartbeatTimer);
    sender.flush();
    // Closing a stream resets it, and frames not yet handed to the kernel are
    // lost. Among them are the last releases: without these, their permits
    // would stay in use until the owner holds this instance dead.
    await sleep(this.settings.tickMs);
    sender.stop();
    linkManager.close();
    listener.close();
  }

  onRecords(handler: RecordHandler): void {
    this.parts.handlers.onRecords.push(handler);
  }

  onMembersChanged(handler: MemberChangeHandler): void {
    this.parts.handlers.onMembersChanged.push(handler);
  }

  onRevisionSeen(handler: RevisionHandler): void {
    this.parts.handlers.onRevisionSeen.push(handler);
  }

  onUndelivered(handler: UndeliveredHandler): void {
    this.parts.handlers.onUndelivered.push(handler);
  }

  self(): Member {
    return this.parts.membership.self;
  }

  /**
   * All known members, this instance first; dead ones until they are forgotten.
   */
  members(): Member[] {
    const {membership} = this.parts;
    return [membership.self, ...membership.others()];
  }

  /** Whether a stream to the instance is open. */
  isConnected(instance: InstanceId): boolean {
    return this.parts.linkManager.contacts.get(instance)?.isConnected ?? false;
  }

  /**
   * Takes the platform's list of instances: addresses at which to find members.
   */
  seed(listed: readonly ListedInstance[]): void {
    this.parts.dialler.seed(listed, this.parts.clock.readMs());
  }

  /**
   * Records the revision in force at this instance; sent with the next frames.
   */
  setRevision(revision: Revision): void {
    const {membership, linkManager, sender} = this.parts;
    if (revision <= membership.self.revision) return;
    membership.setRevision(revision);
    for (const contact of linkManager.contacts.values()) {
      contact.hasUnsentRevision = contact.isConnected;
    }
    sender.schedule(true);
  }

  /**
   * Queues a record for one instance and opens a stream to it if there is none.
   * Returns false, and doesn't send the record, when the instance is not known,
   * is held dead or reads too slowly, so that its queue is full.
   */
  send(instance: InstanceId, record: PeerRecord): boolean {
    const {membership, linkManager, sender} = this.parts;
    const member = membership.get(instance);
    if (member === undefined || member.state === 'dead') return false;
    const contact = linkManager.getOrCreateContact(instance);
    if (!contact.queue(record)) return false;
    linkManager.dial(contact, member.peerAddress);
    sender.schedule(!DEFERRABLE_KINDS.has(record.kind));
    return true;
  }

  /**
   * Queues a record for the neighbours, which are few at any number of
   * instances.
   */
  sendToNeighbours(record: PeerRecord): void {
    for (const neighbour of this.parts.watch.neighbours) {
      this.send(neighbour, record);
    }
  }

  /** Sends a record to all other instances, by gossip; each handles it once. */
  broadcast(record: PeerRecord): void {
    const {rumours, sender} = this.parts;
    const rumour = {id: rumours.issueId(), record};
    for (const contact of sender.linked()) contact.queueRumour(rumour);
    sender.schedule(true);
  }

  /** State of the network for the operator's dump. */
  snapshot(): NetworkSnapshot {
    const {
      listener,
      watch,
      linkManager,
      counter,
      clock,
      membership,
      strangersRefused,
    } = this.parts;
    return describeNetwork({
      address: this.address(),
      listenAddress: listener.address,
      members: this.members(),
      neighbours: [...watch.neighbours],
      linkManager,
      counter,
      nowMs: clock.readMs(),
      strangersRefused,
      refutations: membership.refutationCount,
      pausedMs: clock.totalPausedMs,
    });
  }

  /** Runs once every heartbeat interval. */
  private onHeartbeatTimer(): void {
    const {clock, linkManager, watch, dialler, membership, sender} = this.parts;
    const nowMs = clock.readMs();
    linkManager.sweep(watch.neighbours);
    watch.judgeSilence(nowMs);
    dialler.dialNeighbours(watch.neighbours, nowMs);
    dialler.dialWaiting();
    dialler.dialSeeds(nowMs);
    linkManager.forget(id => membership.get(id) !== undefined);
    sender.flush(true);
  }
}
