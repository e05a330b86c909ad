/** The platform's list of instances, as addresses at which to find members. */

import type {InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';

const INITIAL_DIAL_COUNT = 3;
const DIAL_MISSING_EVERY_MS = 2000;

/** An instance to dial. */
export interface Seed {
  readonly id: InstanceId;
  readonly peerAddress: string;
}

/**
 * The list lags behind, so it only gives addresses to dial. It neither adds a
 * member nor declares one dead: an instance becomes a member once it has been
 * heard, directly or by gossip, and stays one even if the list says that it
 * leaves. Instances held dead are dialled from time to time, whatever the list
 * says: only so do the two halves find each other again after a partition.
 */
export class SeedList {
  private listed: readonly ListedInstance[] = [];
  private lastMissingDialMs = -Infinity;

  constructor(
    private readonly self: InstanceId,
    private readonly random: () => number,
  ) {}

  replace(listed: readonly ListedInstance[]): void {
    this.listed = listed.filter(instance => instance.id !== this.self);
  }

  /**
   * The instances to dial now: several while all members are dead or none is
   * known, else one at a time.
   *
   * @example
   * for (const seed of seeds.choose(membership.others(), nowMs)) dial(seed);
   */
  choose(members: readonly Member[], nowMs: number): Seed[] {
    const present = members.filter(member => member.state !== 'dead');
    if (present.length === 0) {
      return this.pick(this.findMissing(members), INITIAL_DIAL_COUNT);
    }
    if (nowMs - this.lastMissingDialMs < DIAL_MISSING_EVERY_MS) return [];
    this.lastMissingDialMs = nowMs;
    return this.pick(this.findMissing(members), 1);
  }

  private findMissing(members: readonly Member[]): Seed[] {
    const byId = new Map(members.map(member => [member.id, member]));
    const found = new Map<InstanceId, Seed>();
    for (const member of members) {
      if (member.state === 'dead') found.set(member.id, member);
    }
    for (const instance of this.listed) {
      const state = byId.get(instance.id)?.state;
      if (instance.state !== 'live') continue;
      // The list may have a newer address of an instance that is held dead.
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
