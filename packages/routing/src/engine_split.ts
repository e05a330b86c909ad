/** Splits the engines of a service between short and long work. */

import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {RouteDemand} from './demand_meter.js';
import type {RouteId} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Rendezvous key by which all instances rank the engines in the same order. */
const SPLIT_RANKING_KEY = 'short-pauses';
/**
 * A route needs short pauses when its pause target is at most this share of the
 * longest one of its service. An engine that processes long prompts pauses
 * between tokens, whatever its other requests need.
 */
const SHORT_PAUSE_SHARE = 0.5;
/** Prompts of at most this share of the mean length delay streams little. */
const SHORT_PROMPT_SHARE = 0.5;
/**
 * Standard deviations from the agreed share that count as a burst. Arrivals are
 * bursty, and a false alarm moves prompts to cold caches.
 */
const BURST_DEVIATION_COUNT = 3;

/**
 * Routes that need short pauses and have short prompts.
 *
 * @example
 * const short = findShortRoutes(demand.read(service, nowMs));
 */
export function findShortRoutes(
  demands: readonly RouteDemand[],
): ReadonlySet<RouteId> {
  const pauses = demands.map(({pauseTargetMs}) => pauseTargetMs ?? 0);
  const longestPauseMs = Math.max(0, ...pauses);
  const requests = demands.reduce((sum, each) => sum + each.requestsPerS, 0);
  const tokens = demands.reduce(
    (sum, each) => sum + each.meanPromptTokens * each.requestsPerS,
    0,
  );
  const meanTokens = tokens / Math.max(1e-9, requests);
  const short = demands.filter(
    ({pauseTargetMs, meanPromptTokens}) =>
      pauseTargetMs !== undefined &&
      pauseTargetMs <= longestPauseMs * SHORT_PAUSE_SHARE &&
      meanPromptTokens <= meanTokens * SHORT_PROMPT_SHARE,
  );
  return new Set(short.map(({route}) => route));
}

/**
 * Sorts the engines in an order that all instances share, with each data
 * centre's engines spread evenly over it. When a data centre is lost, both
 * sides lose the same share of their engines and hardly any engine changes
 * sides: one that does has none of the prompts that it then gets in its cache.
 *
 * @example
 * const shortSide = orderForSplit(engines).slice(0, 3);
 */
export function orderForSplit(
  engines: readonly ServingEndpoint[],
): readonly ServingEndpoint[] {
  const byId = new Map(engines.map(engine => [engine.id, engine]));
  const sizes = new Map<DataCentreId, number>();
  for (const {dataCentre} of engines) {
    sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1);
  }
  const seen = new Map<DataCentreId, number>();
  const placed = rankByRendezvous(SPLIT_RANKING_KEY, byId.keys()).map(id => {
    const engine = byId.get(id)!;
    const before = seen.get(engine.dataCentre) ?? 0;
    seen.set(engine.dataCentre, before + 1);
    return {engine, place: (before + 0.5) / sizes.get(engine.dataCentre)!};
  });
  // The sort is stable: equal places stay in the order of their ranks.
  placed.sort((left, right) => left.place - right.place);
  return placed.map(({engine}) => engine);
}

/**
 * Sorts the engines as {@link orderForSplit} does, slow ones after all others.
 *
 * @example
 * const ordered = orderSlowLast(engines, each => rates.isSlow(each, nowMs));
 */
export function orderSlowLast(
  engines: readonly ServingEndpoint[],
  isSlow: (engine: ServingEndpoint) => boolean,
): readonly ServingEndpoint[] {
  const slow = new Set(engines.filter(isSlow));
  if (slow.size === 0) return orderForSplit(engines);
  const others = engines.filter(each => !slow.has(each));
  return [...orderForSplit(others), ...orderForSplit([...slow])];
}

/** Inputs of {@link shareOfShortRoutes}. */
export interface SplitInput {
  /** Demand over all instances, some seconds old. */
  readonly demands: readonly RouteDemand[];
  readonly shortRoutes: ReadonlySet<RouteId>;
  /** Recent requests of each route at this instance. */
  readonly recentCounts: ReadonlyMap<RouteId, number>;
  /**
   * Whether chance is measured around the agreed share (false). Around the
   * recent share it is 0 while all recent requests are of one side, so that a
   * few of them count as a burst and long prompts go to the short side.
   */
  readonly isChanceByAgreed?: boolean;
}

/**
 * The share of work that the short routes cause.
 *
 * The agreed demand is some seconds old. When a burst of one side begins, that
 * side's requests queue at a few full engines while the others have free
 * capacity, until the next figures are agreed. So an instance uses its own
 * recent requests once their mix differs from the agreed one by more than
 * chance explains; all instances see the burst at about the same time.
 *
 * @example
 * const share = shareOfShortRoutes({demands, shortRoutes, recentCounts});
 */
export function shareOfShortRoutes(input: SplitInput): number {
  const {demands, shortRoutes, recentCounts, isChanceByAgreed = false} = input;
  const agreed = measureShare(demands, {
    shortRoutes,
    countOf: each => each.requestsPerS,
  });
  const recent = measureShare(demands, {
    shortRoutes,
    countOf: ({route}) => recentCounts.get(route) ?? 0,
    expectedShare: isChanceByAgreed ? agreed.share : undefined,
  });
  const difference = Math.abs(recent.share - agreed.share);
  return difference > BURST_DEVIATION_COUNT * recent.deviation
    ? recent.share
    : agreed.share;
}

interface MeasuredShare {
  readonly share: number;
  /** Standard deviation of the share, given the number of requests. */
  readonly deviation: number;
}

/**
 * Uses the mean work of a request of each route by the agreed demand: sizes of
 * single requests vary widely.
 */
function measureShare(
  demands: readonly RouteDemand[],
  options: {
    readonly shortRoutes: ReadonlySet<RouteId>;
    readonly countOf: (demand: RouteDemand) => number;
    /** The share around which it varies by chance (the measured one). */
    readonly expectedShare?: number;
  },
): MeasuredShare {
  const {shortRoutes, countOf, expectedShare} = options;
  const parts = demands.map(demand => ({
    count: countOf(demand),
    workEach: demand.workPerS / Math.max(1e-9, demand.requestsPerS),
    isShort: shortRoutes.has(demand.route) ? 1 : 0,
  }));
  const total = sumOver(parts, ({count, workEach}) => count * workEach);
  if (total <= 0) return {share: 0, deviation: Number.POSITIVE_INFINITY};
  const short = sumOver(
    parts,
    ({count, workEach, isShort}) => count * workEach * isShort,
  );
  const share = short / total;
  const centre = expectedShare ?? share;
  const variance = sumOver(
    parts,
    ({count, workEach, isShort}) =>
      count * ((workEach * (isShort - centre)) / total) ** 2,
  );
  return {share, deviation: Math.sqrt(variance)};
}

function sumOver<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}

/**
 * Number of engines that serve the short side; neither side is ever empty.
 *
 * @example
 * splitCount(8, 0.4); // 3
 */
export function splitCount(engines: number, share: number): number {
  return Math.min(engines - 1, Math.max(1, Math.round(engines * share)));
}

/**
 * Number of engines, from the first, whose capacity is nearest to a share of
 * that of all; with equal capacities the same as {@link splitCount}.
 *
 * @example
 * const count = splitByCapacity(ordered, 0.4, each => 1 / slownessOf(each));
 */
export function splitByCapacity(
  ordered: readonly ServingEndpoint[],
  share: number,
  capacityOf: (engine: ServingEndpoint) => number,
): number {
  let left = share * sumOver(ordered, capacityOf);
  let count = 0;
  for (const engine of ordered) {
    const capacity = capacityOf(engine);
    if (left < capacity / 2) break;
    left -= capacity;
    count += 1;
  }
  return Math.min(ordered.length - 1, Math.max(1, count));
}

/** Options of {@link widenSide}. */
export interface WidenOptions {
  /** Requests of all instances at an engine. */
  readonly loadOf: (engine: ServingEndpoint) => number;
  /** Requests that it can work on as fast as a usual engine (its capacity). */
  readonly capacityOf?: (engine: ServingEndpoint) => number;
  /** Utilization of a side above which it is widened. */
  readonly maxUtilization: number;
}

/**
 * Adds as many engines of the other side to a side as bring its utilization
 * down to a limit.
 *
 * Load pattern: a burst of one side's requests begins while the agreed demand
 * still describes a burst of the other side. The side is too small for it, and
 * loads are a second old: many instances use the same little free capacity.
 *
 * @param ordered engines in the shared order; those of the side come first.
 * @param count engines of the side itself.
 * @example
 * const engines = widenSide(ordered, shortCount, {loadOf, maxUtilization: 0.5});
 */
export function widenSide(
  ordered: readonly ServingEndpoint[],
  count: number,
  {loadOf, maxUtilization, capacityOf = each => each.capacity}: WidenOptions,
): readonly ServingEndpoint[] {
  let load = 0;
  let capacity = 0;
  for (const [index, engine] of ordered.entries()) {
    if (index >= count && load <= capacity * maxUtilization) {
      return ordered.slice(0, index);
    }
    load += loadOf(engine);
    capacity += capacityOf(engine);
  }
  return ordered;
}
