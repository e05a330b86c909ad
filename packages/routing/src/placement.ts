/** Chooses the endpoint of a request. */

import type {
  DataCentreId,
  EndpointId,
  ServiceId,
} from '@snipestage/types/ids.js';
import type {BrittleEndpoints} from './brittle_endpoints.js';
import type {DataCentreReach} from './data_centre_reach.js';
import type {EndpointRateLimits} from './endpoint_rate_limits.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import type {LoadControls} from './load_controls.js';
import type {LoadCorrection} from './load_correction.js';
import type {Prompt} from './prompt.js';
import type {Route} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import type {WarmupGate} from './warmup_gate.js';

/** A request that needs an endpoint. */
export interface PlacementRequest {
  readonly route: Route;
  readonly prompt: Prompt | undefined;
  /** Data centre of this instance. */
  readonly dataCentre: DataCentreId;
  /** Endpoints that were tried for this request. */
  readonly excluded: ReadonlySet<EndpointId>;
  /** Data centres that this request could not reach. */
  readonly avoided: ReadonlySet<DataCentreId>;
  readonly nowMs: number;
}

/** Sizes of the groups from which a request's engine was chosen. */
export interface PlacementGroup {
  /** Side of the split of engines; `all` where there is none. */
  readonly side: 'short' | 'long' | 'all';
  /** Engines of that side. */
  readonly engines: number;
  /**
   * Engines that the request may use: a side may be widened, and cold or
   * rate-limited engines may be left out.
   */
  readonly candidates: number;
  /** Engines of the service that could be used. */
  readonly usable: number;
}

/** The chosen endpoint. */
export interface Placed {
  readonly endpoint: ServingEndpoint;
  /** Undefined for services other than engines. */
  readonly group?: PlacementGroup;
  /** Another endpoint that may have the start of the prompt in its cache. */
  readonly cacheSource?: ServingEndpoint;
}

/** Chooses an endpoint for a request; doesn't track requests in flight. */
export abstract class Placement {
  /** @returns undefined when no candidate is left. */
  abstract choose(
    candidates: readonly ServingEndpoint[],
    request: PlacementRequest,
  ): Placed | undefined;
}

/** State that placements read. */
export interface PlacementState {
  readonly monitor: EndpointMonitor;
  readonly reach: DataCentreReach;
  /** Limits requests to cold endpoints; without it none counts as cold. */
  readonly warmup?: WarmupGate;
  /** Rate limits of endpoints; without it none is limited. */
  readonly rateLimits?: EndpointRateLimits;
  /** Endpoints that bear few rejections; without it none is brittle. */
  readonly brittle?: BrittleEndpoints;
  /** Services to which corrections apply; without it they apply to none. */
  readonly controls?: LoadControls;
  readonly correction?: LoadCorrection;
}

/** From this estimate on, an endpoint counts as one that lets requests wait. */
export const MIN_WAITING = 0.5;

/**
 * The correction that applies to a service; undefined where there is none.
 *
 * @example
 * const slowness = findCorrection(service, state)?.slownessOf(engine, nowMs);
 */
export function findCorrection(
  service: ServiceId,
  {controls, correction}: Pick<PlacementState, 'controls' | 'correction'>,
): LoadCorrection | undefined {
  return controls?.isOn(service) ? correction : undefined;
}

/**
 * Candidates that were not tried yet and count as reachable, if possible
 * outside of avoided data centres. When none counts as reachable, all that were
 * not tried: an outdated failure must not cause a refusal.
 *
 * @example
 * const usable = findUsable(candidates, request, {monitor, reach});
 */
export function findUsable(
  candidates: readonly ServingEndpoint[],
  request: PlacementRequest,
  {monitor, reach}: PlacementState,
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
 * Whether an endpoint may be offered a request, by its rate limit and by the
 * rejections that it bears.
 *
 * @example
 * const open = endpoints.filter(each => mayOffer(each, nowMs, state));
 */
export function mayOffer(
  endpoint: ServingEndpoint,
  nowMs: number,
  {rateLimits, brittle}: Pick<PlacementState, 'rateLimits' | 'brittle'>,
): boolean {
  const isWithinRate = rateLimits?.mayAdmit(endpoint.id, nowMs) ?? true;
  return isWithinRate && (brittle?.mayAdmit(endpoint, nowMs) ?? true);
}

/**
 * The endpoints of a group that may be offered a request, or else those of all
 * usable ones. The result may be empty: limits hold even when nothing else is
 * left.
 *
 * @example
 * const open = leaveOutLimited(group, usable, request, state);
 */
export function leaveOutLimited(
  group: readonly ServingEndpoint[],
  usable: readonly ServingEndpoint[],
  {nowMs}: PlacementRequest,
  state: PlacementState,
): readonly ServingEndpoint[] {
  const isOpen = (each: ServingEndpoint) => mayOffer(each, nowMs, state);
  const open = group.filter(isOpen);
  return open.length > 0 ? open : usable.filter(isOpen);
}

/**
 * The whole group if none of it is cold; its warm endpoints if one has room, or
 * else the warm ones with room among all usable endpoints. When there are none,
 * the cold ones that may still be sent a request, or else all warm ones. The
 * group is formed with the cold ones, so that it stays the same while they warm
 * up.
 *
 * @example
 * const admitted = leaveOutCold(group, usable, request, state);
 */
export function leaveOutCold(
  group: readonly ServingEndpoint[],
  usable: readonly ServingEndpoint[],
  {nowMs}: PlacementRequest,
  {monitor, warmup}: PlacementState,
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
 * Leaves each endpoint with a small share out of all but that share of the
 * requests, by chance. All are kept when the rest lets requests wait, or when
 * none would be left.
 *
 * @example
 * const group = leaveOutPaced(usable, request, state, random);
 */
export function leaveOutPaced(
  endpoints: readonly ServingEndpoint[],
  {nowMs}: PlacementRequest,
  state: PlacementState,
  random: () => number,
): readonly ServingEndpoint[] {
  const {monitor} = state;
  const kept = endpoints.filter(each => {
    const share =
      findCorrection(each.service, state)?.shareOf(each, nowMs) ?? 1;
    return share >= 1 || random() < share;
  });
  if (kept.length === endpoints.length) return endpoints;
  const isFree = ({id, capacity}: ServingEndpoint): boolean =>
    monitor.estimateWaiting(id, nowMs) < MIN_WAITING &&
    monitor.estimateLoad(id, nowMs) < capacity;
  return kept.some(isFree) ? kept : endpoints;
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
