/** Random choice that evens out loads which are out of date. */

/** Options of {@link chooseByFill}. */
export interface FillOptions<Item> {
  readonly items: readonly Item[];
  /** Load as last known, in requests. */
  readonly costOf: (item: Item) => number;
  /** By how much one more request raises the cost (1); above 0. */
  readonly stepOf?: (item: Item) => number;
  /**
   * Requests that all choosers together send to the items while they know
   * nothing newer; at least 1 is used.
   */
  readonly expectedRequests: number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

const MIN_EXPECTED_REQUESTS = 1;

/**
 * Chooses each item with the probability by which the expected requests, spread
 * over all choosers, fill the less loaded items up to one level.
 *
 * Load pattern: dozens of instances know the same loads, one or two seconds old.
 * Whichever engine had least to do then would get most of the requests until
 * the next report. The more requests are expected within that time, the less
 * the old difference between two engines matters.
 *
 * @returns undefined when there are no items.
 * @example
 * const engine = chooseByFill({items, costOf, expectedRequests: 40, random});
 */
export function chooseByFill<Item>(
  options: FillOptions<Item>,
): Item | undefined {
  const {items, costOf, stepOf = () => 1, expectedRequests, random} = options;
  const targets = items.map(item => ({cost: costOf(item), step: stepOf(item)}));
  const requests = Math.max(MIN_EXPECTED_REQUESTS, expectedRequests);
  const level = findLevel(targets, requests);
  let point = random() * requests;
  const index = targets.findIndex(({cost, step}) => {
    point -= Math.max(0, level - cost) / step;
    return point < 0;
  });
  return items.at(index);
}

interface FillTarget {
  readonly cost: number;
  readonly step: number;
}

/** Level up to which the requests fill the lowest costs. */
function findLevel(targets: readonly FillTarget[], requests: number): number {
  const ascending = targets.toSorted((one, other) => one.cost - other.cost);
  let sum = requests;
  let perStep = 0;
  for (const [index, {cost, step}] of ascending.entries()) {
    sum += cost / step;
    perStep += 1 / step;
    const level = sum / perStep;
    const next = ascending.at(index + 1);
    if (next === undefined || level <= next.cost) return level;
  }
  return Number.POSITIVE_INFINITY;
}
