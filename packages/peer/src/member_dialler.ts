/** Decides which instances to dial, and when this side dials. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import type {LinkManager} from './link_manager.js';
import type {Membership} from './membership.js';
import {SeedList} from './seed_list.js';

/** Options of {@link MemberDialler}. */
export interface MemberDiallerOptions {
  readonly membership: Membership;
  readonly linkManager: LinkManager;
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

  /** Takes the platform's list; dials at once while no member is known. */
  seed(listed: readonly ListedInstance[], nowMs: number): void {
    this.seeds.replace(listed);
    if (this.options.membership.others().length === 0) this.dialSeeds(nowMs);
  }

  dialMember(id: InstanceId): void {
    const {membership, linkManager} = this.options;
    const member = membership.get(id);
    if (member === undefined) return;
    linkManager.dial(linkManager.getOrCreateContact(id), member.peerAddress);
  }

  /**
   * The lower id dials; the other one does after a heartbeat interval without a
   * link.
   */
  dialNeighbours(neighbours: Iterable<InstanceId>, nowMs: number): void {
    for (const id of neighbours) {
      const contact = this.options.linkManager.getOrCreateContact(id);
      if (contact.isConnected) continue;
      contact.wantedSinceMs ??= nowMs;
      const isOverdue =
        nowMs - contact.wantedSinceMs >= this.options.heartbeatMs;
      if (this.id < id || isOverdue) this.dialMember(id);
    }
  }

  /** Dials the instances without a link for which records are queued. */
  dialWaiting(): void {
    for (const contact of this.options.linkManager.contacts.values()) {
      if (contact.hasOutgoing) this.dialMember(contact.id);
    }
  }

  /** Dials instances not yet known and those held dead, a few at a time. */
  dialSeeds(nowMs: number): void {
    const {membership, linkManager} = this.options;
    for (const seed of this.seeds.choose(membership.others(), nowMs)) {
      linkManager.dial(
        linkManager.getOrCreateContact(seed.id),
        seed.peerAddress,
      );
    }
  }
}
