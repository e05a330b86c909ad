/**
 * Selects the instances between which a stream is kept open for heartbeats and
 * gossip. Each instance computes this alone from the members that it knows.
 *
 * Two rings in each data centre, in unrelated orders, make a random graph of
 * degree four: whichever instances fail, the rest stays connected and an update
 * takes few hops. A few delegates of each data centre form a third ring across
 * data centres. The cost of an instance does not grow with the number of
 * instances.
 */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import {rankMembers} from './rendezvous.js';

const RINGS_PER_DATA_CENTRE = 2;
const DELEGATES_PER_DATA_CENTRE = 3;

/**
 * The instances next to `self` in the graph, which excludes dead members.
 *
 * @example
 * const neighbours = findNeighbours(self, members);
 */
export function findNeighbours(
  self: Member,
  members: readonly Member[],
): InstanceId[] {
  const present = members.filter(
    member => member.state !== 'dead' && member.id !== self.id,
  );
  const everyone = [...present, self];
  const local = everyone.filter(
    member => member.dataCentre === self.dataCentre,
  );
  const found = new Set<InstanceId>();
  for (let ring = 0; ring < RINGS_PER_DATA_CENTRE; ring += 1) {
    const order = rankMembers(`ring-${ring}`, local);
    for (const next of findAdjacent(self, order)) found.add(next.id);
  }
  for (const next of findAdjacent(self, orderDelegates(everyone))) {
    if (next.dataCentre !== self.dataCentre) found.add(next.id);
  }
  return [...found].sort();
}

function findAdjacent(self: Member, ring: readonly Member[]): Member[] {
  const at = ring.findIndex(member => member.id === self.id);
  if (at === -1 || ring.length < 2) return [];
  const before = ring[(at - 1 + ring.length) % ring.length];
  const after = ring[(at + 1) % ring.length];
  return [before, after];
}

/**
 * The first delegate of each data centre, then the second of each, and so on.
 */
function orderDelegates(members: readonly Member[]): Member[] {
  const dataCentres = [...new Set(members.map(member => member.dataCentre))];
  dataCentres.sort((a, b) => hashText(a) - hashText(b));
  const ranked = dataCentres.map(dataCentre =>
    rankMembers(
      'delegate',
      members.filter(member => member.dataCentre === dataCentre),
    ),
  );
  const ring: Member[] = [];
  for (let place = 0; place < DELEGATES_PER_DATA_CENTRE; place += 1) {
    for (const order of ranked) {
      if (place < order.length) ring.push(order[place]);
    }
  }
  return ring;
}
