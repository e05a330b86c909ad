/** Computes how many endpoints of each kind carry a demand. */

import type {ModelId, RegionId} from '@snipestage/types/ids.js';
import type {PoolDemand} from './endpoint_plan_demand.js';
import type {PlanOptions, Shortfall} from './endpoint_plan_input.js';

/** Absorbs rounding, so that 2.0000001 endpoints are 2. */
const ROUNDING_TOLERANCE = 1e-6;

/** Endpoints that one pool needs. */
export interface PoolNeed {
  readonly demand: PoolDemand;
  regular: number;
  cheap: number;
  /** Concurrent requests that its regular endpoints are to carry. */
  regularLoad: number;
  /** Maximum number of cheap endpoints that can be planned there now. */
  readonly cheapLimit: number;
}

/** Needs of the pools, and demand that could not be placed. */
export interface Supply {
  readonly needs: readonly PoolNeed[];
  readonly shortfalls: readonly Shortfall[];
}

/**
 * Plans cheap endpoints for the work that may run on them, spread over data
 * centres so that the loss of one costs a bounded share, and regular endpoints
 * for all other work. Regular endpoints alone carry the strict work: the loss
 * of all cheap endpoints at once does not affect the top tiers.
 *
 * @example
 * const {needs, shortfalls} = planSupply(demands, cheapLimitOf, options);
 */
export function planSupply(
  demands: readonly PoolDemand[],
  cheapLimitOf: (demand: PoolDemand) => number,
  options: PlanOptions,
): Supply {
  const needs = demands.map(demand => ({
    demand,
    regular: 0,
    cheap: 0,
    regularLoad: 0,
    cheapLimit: isCheapWorthwhile(demand, options) ? cheapLimitOf(demand) : 0,
  }));
  const shortfalls: Shortfall[] = [];
  for (const group of groupByModelAndRegion(needs)) {
    const uncovered = spreadCheap(group, options);
    addRegular(group, uncovered);
  }
  for (const model of new Set(demands.map(({pool}) => pool.model))) {
    const group = needs.filter(need => need.demand.pool.model === model);
    const missing = moveOverflow(group);
    if (missing > 0) shortfalls.push({model, reason: 'pool_limit', missing});
  }
  return {needs, shortfalls};
}

function isCheapWorthwhile({pool}: PoolDemand, options: PlanOptions): boolean {
  const {cheapPricePerHour, regularPricePerHour} = pool;
  return cheapPricePerHour * options.cheapPriceFactor < regularPricePerHour;
}

function groupByModelAndRegion(needs: readonly PoolNeed[]): PoolNeed[][] {
  const groups = new Map<ModelId, Map<RegionId | undefined, PoolNeed[]>>();
  for (const need of needs) {
    const {pool, region} = need.demand;
    const regions = groups.get(pool.model) ?? new Map();
    groups.set(pool.model, regions);
    regions.set(region, [...(regions.get(region) ?? []), need]);
  }
  return [...groups.values()].flatMap(regions => [...regions.values()]);
}

/**
 * Adds cheap endpoints one by one, each to the pool that has fewest.
 *
 * @returns the share of the flexible work that is left for regular endpoints.
 */
function spreadCheap(group: readonly PoolNeed[], options: PlanOptions): number {
  const total = sum(group, need => need.demand.flexible);
  const mostPerPool = total * options.maxCheapShare;
  let uncovered = total;
  while (uncovered > ROUNDING_TOLERANCE) {
    const open = group.filter(need => hasRoomForCheap(need, mostPerPool));
    if (open.length === 0) break;
    const next = open.reduce((best, need) =>
      comesBefore(need, best) ? need : best,
    );
    next.cheap += 1;
    uncovered -= next.demand.perEndpoint;
  }
  return total > 0 ? Math.max(0, uncovered) / total : 0;
}

/**
 * The first one may exceed the share: regular ones take over if it is lost.
 */
function hasRoomForCheap(need: PoolNeed, mostPerPool: number): boolean {
  if (need.cheap >= need.cheapLimit) return false;
  const after = (need.cheap + 1) * need.demand.perEndpoint;
  return need.cheap === 0 || after <= mostPerPool + ROUNDING_TOLERANCE;
}

function comesBefore(left: PoolNeed, right: PoolNeed): boolean {
  const [a, b] = [left.demand.pool, right.demand.pool];
  return (
    (left.cheap - right.cheap ||
      a.cheapPricePerHour - b.cheapPricePerHour ||
      a.id.localeCompare(b.id)) < 0
  );
}

function addRegular(group: readonly PoolNeed[], uncovered: number): void {
  for (const need of group) {
    const {strict, flexible, perEndpoint, pool} = need.demand;
    need.regularLoad = strict + flexible * uncovered;
    const needed = Math.ceil(
      need.regularLoad / perEndpoint - ROUNDING_TOLERANCE,
    );
    need.regular = Math.max(pool.minRegular, needed);
  }
}

/**
 * Moves load beyond a pool's limit to spare regular endpoints of other pools,
 * then to new ones in the pools with most room.
 *
 * @returns the number of endpoints for which no pool has room.
 */
function moveOverflow(group: readonly PoolNeed[]): number {
  let overflow = sum(group, cutToPoolLimit);
  for (const need of group) {
    const moved = Math.min(overflow, spareOf(need));
    need.regularLoad += moved;
    overflow -= moved;
  }
  while (overflow > ROUNDING_TOLERANCE) {
    const roomiest = group.reduce((best, need) =>
      roomFor(need) > roomFor(best) ? need : best,
    );
    if (roomFor(roomiest) <= 0) break;
    roomiest.regular += 1;
    const moved = Math.min(overflow, spareOf(roomiest));
    roomiest.regularLoad += moved;
    overflow -= moved;
  }
  if (overflow <= ROUNDING_TOLERANCE) return 0;
  const largest = Math.max(...group.map(need => need.demand.perEndpoint));
  return Math.ceil(overflow / largest - ROUNDING_TOLERANCE);
}

/** @returns the load cut off beyond the pool's limit. */
function cutToPoolLimit(need: PoolNeed): number {
  const {pool, perEndpoint} = need.demand;
  const surplus = Math.max(0, need.regularLoad - pool.maxRegular * perEndpoint);
  need.regular = Math.min(need.regular, pool.maxRegular);
  need.regularLoad -= surplus;
  return surplus;
}

function spareOf(need: PoolNeed): number {
  return Math.max(0, need.regular * need.demand.perEndpoint - need.regularLoad);
}

function roomFor(need: PoolNeed): number {
  return need.demand.pool.maxRegular - need.regular;
}

function sum<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
