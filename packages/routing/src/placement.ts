/** Where a request goes. */

import type {DataCentreId, EndpointId} from '@snipestage/types/ids.js';
import type {DataCentreReach} from './data_centre_reach.js';
import type {EndpointRateLimits} from './endpoint_rate_limits.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import type {Prompt} from './prompt.js';
import type {Route} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import type {WarmupGate} from './warmup_gate.js';

/** A request that needs an endpoint. */
export interface PlacementRequest {
  readonly route: Route;
  readonly prompt: Prompt | undefined;
  /** Of the instance that asks. */
  readonly dataCentre: DataCentreId;
  /** Asked already for this request. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Data centres into which this request has found no way. */
  readonly avoided: ReadonlySet<DataCentreId>;
  readonly nowMs: number;
}

/** The engines among which a request's engine was chosen. */
export interface PlacementGroup {
  /** Side of the split of engines; `all` where there is none. */
  readonly side: 'short' | 'long' | 'all';
  /** Engines of that side. */
  readonly engines: number;
  /** Engines that the request could go to: a side may be widened. */
  readonly candidates: number;
  /** Engines of the service that could be used. */
  readonly usable: number;
}

/** Where a request goes. */
export interface Placed {
  readonly endpoint: ServingEndpoint;
  /** Undefined for services other than engines. */
  readonly group?: PlacementGroup;
  /** Another endpoint that may have the start of the prompt in its cache. */
  readonly cacheSource?: ServingEndpoint;
}

/** Picks an endpoint for a request; it keeps no state of its own requests. */
export abstract class Placement {
  /** @returns undefined when no candidate is left. */
  abstract choose(
    candidates: readonly ServingEndpoint[],
    request: PlacementRequest,
  ): Placed | undefined;
}

/** What placements go by. */
export interface PlacementBeliefs {
  readonly monitor: EndpointMonitor;
  readonly reach: DataCentreReach;
  /** Limits what cold endpoints get; without it none counts as cold. */
  readonly warmup?: WarmupGate;
  /** Rate limits of endpoints; without it none is limited. */
  readonly rateLimits?: EndpointRateLimits;
}

/**
 * Candidates that were not asked yet and could be reached lately. When none
 * could, all that were not asked: a wrong belief must not refuse a request.
 *
 * @example
 * const usable = findUsable(candidates, request, {monitor, reach});
 */
export function findUsable(
  candidates: readonly ServingEndpoint[],
  request: PlacementRequest,
  {monitor, reach}: PlacementBeliefs,
): readonly ServingEndpoint[] {
  const {excluded, avoided, nowMs} = request;
  const untried = candidates.filter(({id}) => !excluded.has(id));
  const up = untried.filter(
    ({id, dataCentre}) =>
      !monitor.isDown(id, nowMs) && !reach.isCut(dataCentre, nowMs),
  );
  const open = up.filter(({dataCentre}) => !avoided.has(dataCentre));
  if (open.length > 0) return open;
  return up.length > 0 ? up : untried;
}

/**
 * The endpoints of a group whose rate limits admit a request, or else those of all
 * usable ones. The result may be empty: a limit holds even when nothing else is
 * left.
 *
 * @example
 * const open = leaveOutRateLimited(group, usable, request, beliefs);
 */
export function leaveOutRateLimited(
  group: readonly ServingEndpoint[],
  usable: readonly ServingEndpoint[],
  {nowMs}: PlacementRequest,
  {rateLimits}: PlacementBeliefs,
): readonly ServingEndpoint[] {
  if (rateLimits === undefined) return group;
  const mayAdmit = ({id}: ServingEndpoint) => rateLimits.mayAdmit(id, nowMs);
  const open = group.filter(mayAdmit);
  return open.length > 0 ? open : usable.filter(mayAdmit);
}

/**
 * The endpoints of a group without the cold ones, as long as a warm one has room:
 * in the group, or else among all that are usable. Then cold ones get what they
 * bear. The group is formed with the cold ones, so that it stays the same while
 * they warm up.
 *
 * @example
 * const admitted = leaveOutCold(group, usable, request, beliefs);
 */
export function leaveOutCold(
  group: readonly ServingEndpoint[],
  usable: readonly ServingEndpoint[],
  {nowMs}: PlacementRequest,
  {monitor, warmup}: PlacementBeliefs,
): readonly ServingEndpoint[] {
  if (warmup === undefined) return group;
  const isWarm = ({id}: ServingEndpoint): boolean => !warmup.isCold(id, nowMs);
  const warm = group.filter(isWarm);
  if (warm.length === group.length) return group;
  const hasRoom = ({id, capacity}: ServingEndpoint): boolean =>
    !monitor.isDown(id, nowMs) && monitor.estimateLoad(id, nowMs) < capacity;
  if (warm.some(hasRoom)) return warm;
  const others = usable.filter(isWarm);
  const free = others.filter(hasRoom);
  if (free.length > 0) return free;
  const cold = usable.filter(each => !isWarm(each));
  const admitted = cold.filter(each => warmup.mayAdmit(each, nowMs));
  return admitted.length > 0 ? admitted : others;
}

/**
 * The item with the least cost; the first of equals.
 *
 * @example
 * const nearest = leastBy(endpoints, endpoint => load(endpoint));
 */
export function leastBy<Item>(
  items: readonly Item[],
  costOf: (item: Item) => number,
): Item | undefined {
  let best: Item | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const item of items) {
    const cost = costOf(item);
    if (best === undefined || cost < bestCost) {
      best = item;
      bestCost = cost;
    }
  }
  return best;
}
