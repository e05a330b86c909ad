/** Power of two choices, for loads that are slightly out of date. */

import {leastBy} from './placement.js';

/** Options of {@link chooseBySample}. */
export interface SampledItems<Item> {
  readonly items: readonly Item[];
  /** Lower is better. */
  readonly costOf: (item: Item) => number;
  /** Free capacity; items are sampled in proportion to it. */
  readonly roomOf: (item: Item) => number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

/** Number of candidates that are compared. */
const SAMPLE_SIZE = 2;
/**
 * Weight of full items, whose load may be outdated; they are sampled rarely.
 */
const MIN_ROOM = 0.25;

/**
 * The better of two random items. Load pattern: hundreds of instances share one
 * load report, half a second old. If each chose the least loaded engine, all of
 * them would choose the same one until the next report (herding).
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
