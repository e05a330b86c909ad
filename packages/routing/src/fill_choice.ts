/** Random choice that evens out loads which are out of date. */

/** Options of {@link chooseByFill}. */
export interface FillOptions<Item> {
  readonly items: readonly Item[];
  /** Load as last known, in requests. */
  readonly costOf: (item: Item) => number;
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
  const {items, costOf, expectedRequests, random} = options;
  const costs = items.map(costOf);
  const requests = Math.max(MIN_EXPECTED_REQUESTS, expectedRequests);
  const level = findLevel(costs, requests);
  let point = random() * requests;
  const index = costs.findIndex(cost => {
    point -= Math.max(0, level - cost);
    return point < 0;
  });
  return items.at(index);
}

/** Level up to which the requests fill the lowest costs. */
function findLevel(costs: readonly number[], requests: number): number {
  const ascending = costs.toSorted((one, other) => one - other);
  let sum = requests;
  for (const [index, cost] of ascending.entries()) {
    sum += cost;
    const level = sum / (index + 1);
    const next = ascending.at(index + 1);
    if (next === undefined || level <= next) return level;
  }
  return Number.POSITIVE_INFINITY;
}
