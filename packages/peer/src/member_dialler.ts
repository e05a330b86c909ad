/** Decides whom to dial, and when it is this side's turn to. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import type {LinkKeeper} from './link_keeper.js';
import type {Membership} from './membership.js';
import {SeedList} from './seed_list.js';

/** What a {@link MemberDialler} is made from. */
export interface MemberDiallerOptions {
  readonly membership: Membership;
  readonly keeper: LinkKeeper;
  readonly random: () => number;
  readonly heartbeatMs: number;
}

export class MemberDialler {
  private readonly id: InstanceId;
  private readonly seeds: SeedList;

  constructor(private readonly options: MemberDiallerOptions) {
    this.id = options.membership.self.id;
    this.seeds = new SeedList(this.id, options.random);
  }

  /** Takes the platform's list; dials at once while nobody is known. */
  seed(listed: readonly ListedInstance[], nowMs: number): void {
    this.seeds.replace(listed);
    if (this.options.membership.others().length === 0) this.dialSeeds(nowMs);
  }

  dialMember(id: InstanceId): void {
    const {membership, keeper} = this.options;
    const member = membership.get(id);
    if (member === undefined) return;
    keeper.dial(keeper.contactOf(id), member.peerAddress);
  }

  /** The lower id dials; the other one does when that has led to nothing. */
  dialNeighbours(neighbours: Iterable<InstanceId>, nowMs: number): void {
    for (const id of neighbours) {
      const contact = this.options.keeper.contactOf(id);
      if (contact.isConnected) continue;
      contact.wantedMs ??= nowMs;
      const isOverdue = nowMs - contact.wantedMs >= this.options.heartbeatMs;
      if (this.id < id || isOverdue) this.dialMember(id);
    }
  }

  /** Records wait for an instance to which the last dial led to nothing. */
  dialWaiting(): void {
    for (const contact of this.options.keeper.contacts.values()) {
      if (contact.hasOutgoing) this.dialMember(contact.id);
    }
  }

  /** Members not yet met, and lost ones, a few at a time. */
  dialSeeds(nowMs: number): void {
    const {membership, keeper} = this.options;
    for (const seed of this.seeds.choose(membership.others(), nowMs)) {
      keeper.dial(keeper.contactOf(seed.id), seed.peerAddress);
    }
  }
}
