/**
 * Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998):
 * instances that know the same members choose alike without talking.
 */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';

const DEFAULT_POLLERS = 2;

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
    weight: hashText(`${key}/${member.id}`),
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
