/** Choice among many by figures that are somewhat out of date. */

import {leastBy} from './placement.js';

/** How the items of a {@link chooseBySample} are judged. */
export interface SampledItems<Item> {
  readonly items: readonly Item[];
  /** The less, the better. */
  readonly costOf: (item: Item) => number;
  /** What is left of an item; it is looked at in proportion to this. */
  readonly roomOf: (item: Item) => number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

/** Items that are looked at. */
const SAMPLE_SIZE = 2;
/** A full item is looked at now and then: what is known of it may be wrong. */
const MIN_ROOM = 0.25;

/**
 * The better of two random items. Load pattern: hundreds of instances know the
 * same loads, half a second old. If each took the least loaded engine of all,
 * they would all take the same one until the next report.
 *
 * @returns undefined when there are no items.
 * @example
 * const engine = chooseBySample({items: engines, costOf, roomOf, random});
 */
export function chooseBySample<Item>(
  options: SampledItems<Item>,
): Item | undefined {
  const {items, costOf, roomOf, random} = options;
  const rooms = items.map(item => Math.max(MIN_ROOM, roomOf(item)));
  const total = rooms.reduce((sum, room) => sum + room, 0);
  const sample = Array.from({length: SAMPLE_SIZE}, () =>
    drawByRoom(items, rooms, random() * total),
  );
  return leastBy(
    sample.filter(item => item !== undefined),
    costOf,
  );
}

function drawByRoom<Item>(
  items: readonly Item[],
  rooms: readonly number[],
  point: number,
): Item | undefined {
  let end = 0;
  const index = rooms.findIndex(room => {
    end += room;
    return point < end;
  });
  return items.at(index);
}
