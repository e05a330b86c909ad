/**
 * Messages between this entry instance and the others, and who they are. The
 * task owns its listener, its streams, its queues and its timers.
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
  private readonly parts: NetworkParts;
  private beatTimer?: NodeJS.Timeout;
  private isStopping = false;

  constructor(options: PeerNetworkOptions) {
    this.settings = options.settings;
    this.parts = new NetworkParts(options);
  }

  /** Listens and starts to beat. Rejects when the port can't be had. */
  async start(): Promise<void> {
    const {listener, membership, log} = this.parts;
    await listener.listen();
    membership.setAddress(this.address());
    this.beatTimer = setInterval(() => this.beat(), this.settings.heartbeatMs);
    log('peer_listening', {address: this.address()});
  }

  /** Where other instances reach this one. */
  address(): string {
    return this.settings.advertisedAddress ?? this.parts.listener.address;
  }

  /** Tells the others that this instance is about to stop; it goes on. */
  leave(): void {
    this.parts.membership.leave();
    this.parts.sender.flush();
  }

  /** Sends what is queued, gives it a tick to leave, and closes everything. */
  async stop(): Promise<void> {
    const {sender, keeper, listener} = this.parts;
    if (this.isStopping) return;
    this.isStopping = true;
    clearInterval(this.beatTimer);
    sender.flush();
    // Closing a stream resets it. Frames that are not with the kernel by then
    // would be lost, the last releases among them, and their permits stay in
    // use until the owner misses this instance.
    await sleep(this.settings.tickMs);
    sender.stop();
    keeper.close();
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

  /** All known members, this instance first; dead ones too for a while. */
  members(): Member[] {
    const {membership} = this.parts;
    return [membership.self, ...membership.others()];
  }

  /** Whether a stream to the instance is open. */
  isConnected(instance: InstanceId): boolean {
    return this.parts.keeper.contacts.get(instance)?.isConnected ?? false;
  }

  /** The platform's list of instances: where to look for members. */
  seed(listed: readonly ListedInstance[]): void {
    this.parts.dialler.seed(listed, this.parts.clock.readMs());
  }

  /** This instance has the revision in force; told with the next frames. */
  setRevision(revision: Revision): void {
    const {membership, keeper, sender} = this.parts;
    if (revision <= membership.self.revision) return;
    membership.setRevision(revision);
    for (const contact of keeper.contacts.values()) {
      contact.owesRevision = contact.isConnected;
    }
    sender.schedule(true);
  }

  /**
   * Queues a record for one instance and opens a stream to it if there is none.
   * False when the instance is not known, is held dead or reads too slowly:
   * the record is not sent.
   */
  send(instance: InstanceId, record: PeerRecord): boolean {
    const {membership, keeper, sender} = this.parts;
    const member = membership.get(instance);
    if (member === undefined || member.state === 'dead') return false;
    const contact = keeper.contactOf(instance);
    if (!contact.queue(record)) return false;
    keeper.dial(contact, member.peerAddress);
    sender.schedule(!PATIENT_KINDS.has(record.kind));
    return true;
  }

  /** Queues a record for the neighbours: a few instances, whatever the size. */
  sendToNeighbours(record: PeerRecord): void {
    for (const neighbour of this.parts.watch.neighbours) {
      this.send(neighbour, record);
    }
  }

  /** Tells all instances, by way of the neighbours; each hears it once. */
  broadcast(record: PeerRecord): void {
    const {rumours, sender} = this.parts;
    const rumour = {id: rumours.issueId(), record};
    for (const contact of sender.linked()) contact.queueRumour(rumour);
    sender.schedule(true);
  }

  /** What the dump shows. */
  snapshot(): NetworkSnapshot {
    const {
      listener,
      watch,
      keeper,
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
      keeper,
      counter,
      nowMs: clock.readMs(),
      strangersRefused,
      refutations: membership.refutationCount,
      pausedMs: clock.totalPausedMs,
    });
  }

  /** Once every heartbeat interval. */
  private beat(): void {
    const {clock, keeper, watch, dialler, membership, sender} = this.parts;
    const nowMs = clock.readMs();
    keeper.sweep(watch.neighbours);
    watch.judgeSilence(nowMs);
    dialler.dialNeighbours(watch.neighbours, nowMs);
    dialler.dialWaiting();
    dialler.dialSeeds(nowMs);
    keeper.forget(id => membership.get(id) !== undefined);
    sender.flush(true);
  }
}
