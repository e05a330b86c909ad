/**
 * Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998):
 * instances that know the same members choose alike without talking.
 */

import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;
const DEFAULT_POLLERS = 2;

/**
 * FNV-1a with the finalizer of MurmurHash3, without which names that differ in
 * their last digit would get neighbouring weights.
 *
 * @example
 * const weight = hash32('akl-a/akl-a-1');
 */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Members in the order in which they would hold what `key` names.
 *
 * @example
 * const [owner] = rankMembers(cell, candidates);
 */
export function rankMembers<T extends {readonly id: InstanceId}>(
  key: string,
  members: readonly T[],
): T[] {
  const weighed = members.map(member => ({
    member,
    weight: hash32(`${key}/${member.id}`),
  }));
  weighed.sort(
    (a, b) => b.weight - a.weight || (a.member.id < b.member.id ? -1 : 1),
  );
  return weighed.map(({member}) => member);
}

/**
 * The instances of a data centre that read the platform's head row; the others
 * hear of new revisions from them. Two, so that one may be lost unnoticed.
 * Instances whose views differ poll too often or, until the views agree again,
 * too seldom: nothing but delay comes of it.
 *
 * @example
 * const polls = choosePollers(dataCentre, network.members()).includes(self);
 */
export function choosePollers(
  dataCentre: DataCentreId,
  members: readonly Member[],
  count = DEFAULT_POLLERS,
): InstanceId[] {
  const candidates = members.filter(
    member => member.dataCentre === dataCentre && member.state === 'alive',
  );
  const ranked = rankMembers(`head-row/${dataCentre}`, candidates);
  return ranked.slice(0, count).map(member => member.id);
}
