/**
 * Who is there: heartbeats seen directly, and gossip, merged into one view.
 * Does no I/O; the caller passes the time in and carries the updates out.
 *
 * After SWIM (Das, Gupta, Motivala, 2002) with these differences: evidence
 * comes from the frames of long-lived streams between fixed neighbours, not
 * from probes of members chosen at random, since a new stream costs as much
 * processor time as ten frames; and a rumour of a death only starts suspicion,
 * so that a member of the other side of a healed partition has time to refute.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {Hello} from './frame_codec.js';
import {GossipQueue} from './gossip_queue.js';
import {
  isAccusation,
  isNewer,
  needsRefutation,
  stateOnHearsay,
} from './member_rules.js';
import type {PeerIdentity} from './records.js';
import {
  judgeSilence,
  type KnownMember,
  type SilenceLimits,
} from './silence_rules.js';

const DEFAULT_FORGET_AFTER_MS = 600_000;
const LONGEST_SUSPICION_WAIT_MS = 60_000;
const MAX_NEWS_PER_FRAME = 24;
const IN_TURN_PER_HEARTBEAT = 3;

/** What a {@link Membership} is made from. */
export interface MembershipOptions extends SilenceLimits {
  readonly self: Member;
}

/** One change of the view. */
export interface MemberChange {
  readonly member: Member;
  /** Absent when it was not known. */
  readonly previous?: Member;
}

/** The view of one instance. */
export class Membership {
  private readonly options: Required<MembershipOptions>;
  private readonly entries = new Map<InstanceId, KnownMember>();
  /** Rumours against members that are heard directly, for them to refute. */
  private readonly accusations = new Map<InstanceId, Member>();
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

  /** How often this instance had to say that it is not failing. */
  get refutationCount(): number {
    return this.refutations;
  }

  get(id: InstanceId): Member | undefined {
    return this.entries.get(id)?.member;
  }

  /** All known members but this instance, dead ones too. */
  others(): Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Changes since the last call. */
  takeChanges(): MemberChange[] {
    const taken = this.changes;
    this.changes = [];
    return taken;
  }

  /** Where this instance listens, once it does. */
  setAddress(peerAddress: string): void {
    this.selfMember = {...this.selfMember, peerAddress};
  }

  /** This instance has a new revision in force. */
  setRevision(revision: Revision): void {
    if (revision <= this.selfMember.revision) return;
    this.selfMember = {...this.selfMember, revision};
  }

  /** This instance is about to stop; told as news. */
  leave(): void {
    this.raiseSelf(this.selfMember.heartbeat, 'leaving');
  }

  /** A stream to the neighbour is open. */
  openStream(hello: Hello, nowMs: number): void {
    this.gossip.open(hello.id);
    this.greet(hello, nowMs);
    if (hello.knownMembers < this.entries.size + 1) {
      this.gossip.addFor(hello.id, this.entries.keys());
    }
    this.gossip.addFor(hello.id, [this.selfMember.id]);
  }

  closeStream(neighbour: InstanceId): void {
    this.gossip.close(neighbour);
  }

  /** A frame came from the instance itself: it runs, whatever is said. */
  hear(from: PeerIdentity, revision: Revision, nowMs: number): void {
    const entry = this.entries.get(from.id);
    if (entry?.member.incarnation !== from.incarnation) return;
    entry.heardMs = nowMs;
    entry.suspicionWaitMs = this.options.suspectAfterMs;
    const {state} = entry.member;
    if (state === 'suspect' || state === 'dead') {
      this.accusations.set(from.id, entry.member);
      this.replace(entry, {...entry.member, state: 'alive'}, nowMs);
    }
    if (revision > entry.member.revision) {
      entry.member = {...entry.member, revision};
      this.gossip.add(from.id, from.id, 'with_next_frame');
    }
  }

  /** Takes in what another instance says. */
  merge(updates: readonly Member[], from: InstanceId, nowMs: number): void {
    for (const told of updates) {
      if (told.id === this.selfMember.id) this.mergeSelf(told);
      else this.mergeOther(told, from, nowMs);
    }
  }

  /**
   * Moves on with time. `watched` are the members whose frames are expected;
   * `spared` those whose silent stream is just being replaced, which are not
   * suspected yet.
   *
   * @example
   * membership.tick(nowMs, new Set(neighbours), new Set());
   */
  tick(
    nowMs: number,
    watched: ReadonlySet<InstanceId>,
    spared: ReadonlySet<InstanceId>,
  ): void {
    for (const [id, entry] of this.entries) {
      if (!watched.has(id)) entry.watchedMs = undefined;
      else entry.watchedMs ??= nowMs;
      if (!spared.has(id)) this.judge(entry, nowMs);
    }
  }

  /** Whether there is news for the neighbour. */
  hasNews(neighbour: InstanceId): boolean {
    return this.accusations.has(neighbour) || this.gossip.hasUrgent(neighbour);
  }

  /** What the next frame to the neighbour tells: a bounded number. */
  takeUpdates(neighbour: InstanceId, isHeartbeat: boolean): Member[] {
    const subjects = new Set(this.gossip.take(neighbour, MAX_NEWS_PER_FRAME));
    if (isHeartbeat && subjects.size < MAX_NEWS_PER_FRAME) {
      const all = [...this.entries.keys()];
      const more = this.gossip.takeInTurn(all, IN_TURN_PER_HEARTBEAT);
      for (const subject of more) subjects.add(subject);
    }
    const updates: Member[] = [];
    const accusation = this.accusations.get(neighbour);
    this.accusations.delete(neighbour);
    if (accusation !== undefined) updates.push(accusation);
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

  private raiseSelf(above: number, state: Member['state']): void {
    this.selfMember = {...this.selfMember, heartbeat: above + 1, state};
    this.gossip.add(this.selfMember.id);
  }

  private mergeSelf(told: Member): void {
    if (!needsRefutation(told, this.selfMember)) return;
    this.refutations += 1;
    this.raiseSelf(told.heartbeat, this.selfMember.state);
  }

  /** Who opens a stream is there; first-hand, so it overrules every rumour. */
  private greet(hello: Hello, nowMs: number): void {
    const {id, incarnation, dataCentre, peerAddress, heartbeat} = hello;
    const known = this.entries.get(id);
    if (known?.member.incarnation === incarnation) return;
    if (known !== undefined) this.accusations.set(id, known.member);
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

  private insert(member: Member, heardMs: number, nowMs: number): void {
    const previous = this.entries.get(member.id);
    this.entries.set(member.id, {
      member,
      heardMs,
      refutedMs: -Infinity,
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

  private mergeOther(told: Member, from: InstanceId, nowMs: number): void {
    const entry = this.entries.get(told.id);
    if (entry === undefined) {
      // Dead ones that all have forgotten must not come back by gossip.
      if (told.state === 'dead') return;
      this.insert(told, -Infinity, nowMs);
      this.gossip.add(told.id, from);
      return;
    }
    const known = entry.member;
    if (!isNewer(told, known)) {
      if (told.incarnation !== known.incarnation) return;
      if (told.revision <= known.revision) return;
      entry.member = {...known, revision: told.revision};
      this.gossip.add(told.id, from, 'with_next_frame');
      return;
    }
    if (told.incarnation !== known.incarnation) {
      if (told.state === 'dead') return;
      this.insert(told, -Infinity, nowMs);
    } else {
      this.mergeNewer(entry, told, nowMs);
    }
    this.gossip.add(told.id, from);
  }

  private mergeNewer(entry: KnownMember, told: Member, nowMs: number): void {
    const known = entry.member;
    const isAgainst = isAccusation(told);
    if (isAgainst && this.isHeard(entry, nowMs)) {
      this.accusations.set(told.id, told);
      return;
    }
    if (known.state === 'suspect' && !isAgainst) {
      entry.refutedMs = nowMs;
      const longerMs = entry.suspicionWaitMs * 2;
      entry.suspicionWaitMs = Math.min(longerMs, LONGEST_SUSPICION_WAIT_MS);
    }
    const state = stateOnHearsay(told, known);
    const revision = Math.max(told.revision, known.revision) as Revision;
    this.replace(entry, {...told, revision, state}, nowMs);
  }

  private isHeard(entry: KnownMember, nowMs: number): boolean {
    return nowMs - entry.heardMs <= this.options.suspectAfterMs;
  }

  private judge(entry: KnownMember, nowMs: number): void {
    const {member} = entry;
    const verdict = judgeSilence(entry, nowMs, this.options);
    if (verdict === 'keep') return;
    if (verdict === 'forget') {
      this.entries.delete(member.id);
      return;
    }
    this.replace(entry, {...member, state: verdict}, nowMs);
    // Others have heard of the suspicion, and wait for its end by themselves.
    if (member.state !== 'suspect') this.gossip.add(member.id);
  }
}
