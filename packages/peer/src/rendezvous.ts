/**
 * Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998):
 * instances that know the same members make the same choice without messages.
 */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';

const DEFAULT_POLLER_COUNT = 2;

/**
 * Members in order of their preference for `key`, the highest weight first.
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
 * The instances of a data centre that poll the platform's head row; the others
 * learn new revisions from them. Two by default, so that the loss of one has no
 * effect. While the views of instances differ, too many or too few of them
 * poll, which causes nothing but extra polls or delay.
 *
 * @example
 * const polls = choosePollers(dataCentre, network.members()).includes(self);
 */
export function choosePollers(
  dataCentre: DataCentreId,
  members: readonly Member[],
  count = DEFAULT_POLLER_COUNT,
): InstanceId[] {
  const candidates = members.filter(
    member => member.dataCentre === dataCentre && member.state === 'alive',
  );
  const ranked = rankMembers(`head-row/${dataCentre}`, candidates);
  return ranked.slice(0, count).map(member => member.id);
}
