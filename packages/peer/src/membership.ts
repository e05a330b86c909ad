/**
 * The view that one instance has of all members, merged from heartbeats that it
 * receives itself and from gossip. Does no I/O; the caller passes the time in
 * and sends the updates.
 *
 * Follows SWIM (Das, Gupta, Motivala, 2002) with two differences. Evidence
 * comes from the frames of long-lived streams between fixed neighbours, not
 * from probes of members chosen at random, since a new stream costs as much
 * processor time as ten frames. And a death that is only reported starts a
 * suspicion, so that a member from the other side of a healed partition has
 * time to refute it.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {Hello} from './frame_codec.js';
import {GossipQueue} from './gossip_queue.js';
import {
  reportsFailure,
  isNewer,
  needsRefutation,
  resolveReportedState,
} from './member_rules.js';
import type {PeerIdentity} from './records.js';
import {
  judgeSilence,
  type KnownMember,
  type SilenceLimits,
} from './silence_rules.js';

const DEFAULT_FORGET_AFTER_MS = 600_000;
const MAX_SUSPICION_WAIT_MS = 60_000;
const MAX_UPDATES_PER_FRAME = 24;
const REPEATED_UPDATES_PER_HEARTBEAT = 3;

/** Options of {@link Membership}. */
export interface MembershipOptions extends SilenceLimits {
  readonly self: Member;
}

/** One change of the view: a new member, incarnation or state. */
export interface MemberChange {
  readonly member: Member;
  /** Absent when the member was not known before. */
  readonly previous?: Member;
}

/** The view of one instance. */
export class Membership {
  private readonly options: Required<MembershipOptions>;
  private readonly entries = new Map<InstanceId, KnownMember>();
  /** Failure reports to send to the member that they are about, to refute. */
  private readonly failureReports = new Map<InstanceId, Member>();
  private readonly gossip = new GossipQueue();
  private selfMember: Member;
  private changes: MemberChange[] = [];
  private refutations = 0;

  constructor(options: MembershipOptions) {
    this.options = {forgetAfterMs: DEFAULT_FORGET_AFTER_MS, ...options};
    this.selfMember = options.self;
  }

  get self(): Member {
    return this.selfMember;
  }

  /** How often this instance has refuted an update about itself. */
  get refutationCount(): number {
    return this.refutations;
  }

  get(id: InstanceId): Member | undefined {
    return this.entries.get(id)?.member;
  }

  /** All known members but this instance, including dead ones. */
  others(): Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Changes since the last call. */
  takeChanges(): MemberChange[] {
    const taken = this.changes;
    this.changes = [];
    return taken;
  }

  /** Sets the address at which others reach this instance, once it listens. */
  setAddress(peerAddress: string): void {
    this.selfMember = {...this.selfMember, peerAddress};
  }

  /**
   * Records a new revision in force at this instance. Lower ones are ignored.
   */
  setRevision(revision: Revision): void {
    if (revision <= this.selfMember.revision) return;
    this.selfMember = {...this.selfMember, revision};
  }

  /**
   * Marks this instance as leaving and queues the update for its neighbours.
   */
  leave(): void {
    this.raiseOwnHeartbeat(this.selfMember.heartbeat, 'leaving');
  }

  /**
   * Records that a stream to the neighbour is open, and queues updates for it.
   */
  openStream(hello: Hello, nowMs: number): void {
    this.gossip.open(hello.id);
    this.mergeHello(hello, nowMs);
    if (hello.knownMembers < this.entries.size + 1) {
      this.gossip.addFor(hello.id, this.entries.keys());
    }
    this.gossip.addFor(hello.id, [this.selfMember.id]);
  }

  closeStream(neighbour: InstanceId): void {
    this.gossip.close(neighbour);
  }

  /**
   * Records a frame from the instance itself: it is alive, whatever gossip
   * says.
   */
  noteFrame(from: PeerIdentity, revision: Revision, nowMs: number): void {
    const entry = this.entries.get(from.id);
    if (entry?.member.incarnation !== from.incarnation) return;
    entry.lastHeardMs = nowMs;
    entry.suspicionWaitMs = this.options.suspectAfterMs;
    const {state} = entry.member;
    if (state === 'suspect' || state === 'dead') {
      this.failureReports.set(from.id, entry.member);
      this.replace(entry, {...entry.member, state: 'alive'}, nowMs);
    }
    if (revision > entry.member.revision) {
      entry.member = {...entry.member, revision};
      this.gossip.add(from.id, from.id, 'with_next_frame');
    }
  }

  /** Merges the updates that another instance has sent. */
  merge(updates: readonly Member[], from: InstanceId, nowMs: number): void {
    for (const update of updates) {
      if (update.id === this.selfMember.id) this.mergeSelf(update);
      else this.mergeOther(update, from, nowMs);
    }
  }

  /**
   * Applies the state changes that are due. `watched` are the members whose
   * frames are expected; `exempt` are those that are skipped, since a silent
   * stream to them is just being replaced.
   *
   * @example
   * membership.tick(nowMs, new Set(neighbours), new Set());
   */
  tick(
    nowMs: number,
    watched: ReadonlySet<InstanceId>,
    exempt: ReadonlySet<InstanceId>,
  ): void {
    for (const [id, entry] of this.entries) {
      if (!watched.has(id)) entry.watchedSinceMs = undefined;
      else entry.watchedSinceMs ??= nowMs;
      if (!exempt.has(id)) this.applySilenceVerdict(entry, nowMs);
    }
  }

  /**
   * Whether updates wait for the neighbour that warrant a frame of their own.
   */
  hasUrgentUpdates(neighbour: InstanceId): boolean {
    return (
      this.failureReports.has(neighbour) || this.gossip.hasUrgent(neighbour)
    );
  }

  /**
   * Takes the updates for the next frame to the neighbour: a bounded number.
   */
  takeUpdates(neighbour: InstanceId, isHeartbeat: boolean): Member[] {
    const subjects = new Set(
      this.gossip.take(neighbour, MAX_UPDATES_PER_FRAME),
    );
    if (isHeartbeat && subjects.size < MAX_UPDATES_PER_FRAME) {
      const all = [...this.entries.keys()];
      const more = this.gossip.takeRoundRobin(
        all,
        REPEATED_UPDATES_PER_HEARTBEAT,
      );
      for (const subject of more) subjects.add(subject);
    }
    const updates: Member[] = [];
    const failureReport = this.failureReports.get(neighbour);
    this.failureReports.delete(neighbour);
    if (failureReport !== undefined) updates.push(failureReport);
    for (const subject of subjects) {
      if (subject === neighbour) continue;
      const member = this.describe(subject);
      if (member !== undefined) updates.push(member);
    }
    return updates;
  }

  private describe(id: InstanceId): Member | undefined {
    return id === this.selfMember.id ? this.selfMember : this.get(id);
  }

  private raiseOwnHeartbeat(above: number, state: Member['state']): void {
    this.selfMember = {...this.selfMember, heartbeat: above + 1, state};
    this.gossip.add(this.selfMember.id);
  }

  private mergeSelf(update: Member): void {
    if (!needsRefutation(update, this.selfMember)) return;
    this.refutations += 1;
    this.raiseOwnHeartbeat(update.heartbeat, this.selfMember.state);
  }

  /**
   * A hello comes from the instance itself, so it overrides all gossip about
   * it.
   */
  private mergeHello(hello: Hello, nowMs: number): void {
    const {id, incarnation, dataCentre, peerAddress, heartbeat} = hello;
    const known = this.entries.get(id);
    if (known?.member.incarnation === incarnation) return;
    if (known !== undefined) this.failureReports.set(id, known.member);
    const member: Member = {
      id,
      incarnation,
      dataCentre,
      peerAddress,
      heartbeat: Math.max(heartbeat, known?.member.heartbeat ?? 0),
      state: 'alive',
      revision: 0 as Revision,
    };
    this.insert(member, nowMs, nowMs);
    this.gossip.add(id);
  }

  private insert(member: Member, lastHeardMs: number, nowMs: number): void {
    const previous = this.entries.get(member.id);
    this.entries.set(member.id, {
      member,
      lastHeardMs,
      lastRefutedMs: -Infinity,
      suspicionWaitMs: this.options.suspectAfterMs,
      sinceMs: nowMs,
    });
    this.changes.push({member, previous: previous?.member});
  }

  private replace(entry: KnownMember, member: Member, nowMs: number): void {
    const previous = entry.member;
    entry.member = member;
    if (member.state === previous.state) return;
    entry.sinceMs = nowMs;
    this.changes.push({member, previous});
  }

  private mergeOther(update: Member, from: InstanceId, nowMs: number): void {
    const entry = this.entries.get(update.id);
    if (entry === undefined) {
      // Gossip must not bring back dead members that have been forgotten.
      if (update.state === 'dead') return;
      this.insert(update, -Infinity, nowMs);
      this.gossip.add(update.id, from);
      return;
    }
    const known = entry.member;
    if (!isNewer(update, known)) {
      if (update.incarnation !== known.incarnation) return;
      if (update.revision <= known.revision) return;
      entry.member = {...known, revision: update.revision};
      this.gossip.add(update.id, from, 'with_next_frame');
      return;
    }
    if (update.incarnation !== known.incarnation) {
      if (update.state === 'dead') return;
      this.insert(update, -Infinity, nowMs);
    } else {
      this.mergeNewer(entry, update, nowMs);
    }
    this.gossip.add(update.id, from);
  }

  private mergeNewer(entry: KnownMember, update: Member, nowMs: number): void {
    const known = entry.member;
    const isFailureReport = reportsFailure(update);
    if (isFailureReport && this.isHeardRecently(entry, nowMs)) {
      this.failureReports.set(update.id, update);
      return;
    }
    if (known.state === 'suspect' && !isFailureReport) {
      entry.lastRefutedMs = nowMs;
      const longerMs = entry.suspicionWaitMs * 2;
      entry.suspicionWaitMs = Math.min(longerMs, MAX_SUSPICION_WAIT_MS);
    }
    const state = resolveReportedState(update, known);
    const revision = Math.max(update.revision, known.revision) as Revision;
    this.replace(entry, {...update, revision, state}, nowMs);
  }

  private isHeardRecently(entry: KnownMember, nowMs: number): boolean {
    return nowMs - entry.lastHeardMs <= this.options.suspectAfterMs;
  }

  private applySilenceVerdict(entry: KnownMember, nowMs: number): void {
    const {member} = entry;
    const verdict = judgeSilence(entry, nowMs, this.options);
    if (verdict === 'keep') return;
    if (verdict === 'forget') {
      this.entries.delete(member.id);
      return;
    }
    this.replace(entry, {...member, state: verdict}, nowMs);
    // The others know of the suspicion and time it out by themselves.
    if (member.state !== 'suspect') this.gossip.add(member.id);
  }
}
