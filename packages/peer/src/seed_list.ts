/** The platform's list of instances, as places to look for members. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';

const FIRST_DIALS = 3;
const DIAL_LOST_EVERY_MS = 2000;

/** Someone to dial. */
export interface Seed {
  readonly id: InstanceId;
  readonly peerAddress: string;
}

/**
 * The list lags, so it only says where to look. It makes nobody a member and
 * nobody dead: an instance counts once it has been heard, directly or by
 * gossip, and one that is heard counts though the list says it leaves. An
 * instance held dead is dialled now and then, whatever the list says: after a
 * partition the two halves find each other again only in this way.
 */
export class SeedList {
  private listed: readonly ListedInstance[] = [];
  private lastLostMs = -Infinity;

  constructor(
    private readonly self: InstanceId,
    private readonly random: () => number,
  ) {}

  replace(listed: readonly ListedInstance[]): void {
    this.listed = listed.filter(instance => instance.id !== this.self);
  }

  /**
   * Whom to dial now: several while nobody is known, else one at a time.
   *
   * @example
   * for (const seed of seeds.choose(membership.others(), nowMs)) dial(seed);
   */
  choose(members: readonly Member[], nowMs: number): Seed[] {
    const present = members.filter(member => member.state !== 'dead');
    if (present.length === 0) {
      return this.pick(this.findLost(members), FIRST_DIALS);
    }
    if (nowMs - this.lastLostMs < DIAL_LOST_EVERY_MS) return [];
    this.lastLostMs = nowMs;
    return this.pick(this.findLost(members), 1);
  }

  private findLost(members: readonly Member[]): Seed[] {
    const byId = new Map(members.map(member => [member.id, member]));
    const found = new Map<InstanceId, Seed>();
    for (const member of members) {
      if (member.state === 'dead') found.set(member.id, member);
    }
    for (const instance of this.listed) {
      const state = byId.get(instance.id)?.state;
      if (instance.state !== 'live') continue;
      // The list may know where an instance that was held dead lives now.
      if (state === undefined || state === 'dead') {
        found.set(instance.id, instance);
      }
    }
    return [...found.values()];
  }

  private pick(seeds: Seed[], count: number): Seed[] {
    const picked: Seed[] = [];
    const left = [...seeds];
    while (picked.length < count && left.length > 0) {
      const at = Math.floor(this.random() * left.length);
      picked.push(...left.splice(at, 1));
    }
    return picked;
  }
}
