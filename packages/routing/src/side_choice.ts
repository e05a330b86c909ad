/** Chooses the side of the split of engines that serves a request. */

import type {ServiceId} from '@snipestage/types/ids.js';
import type {CorrectedLoads} from './corrected_loads.js';
import type {DemandMeter, DemandSource, RouteDemand} from './demand_meter.js';
import {
  findShortRoutes,
  orderSlowLast,
  shareOfShortRoutes,
  splitByCapacity,
  splitCount,
  widenSide,
  type SplitInput,
} from './engine_split.js';
import {
  findCorrection,
  type PlacementGroup,
  type PlacementState,
} from './placement.js';
import type {Route} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import type {SharedDemand} from './shared_demand.js';
import type {SideHistory} from './side_history.js';

/** Options of {@link SideChoice}. */
export interface SideChoiceOptions extends PlacementState {
  readonly demand: DemandSource;
  /** Demand of the last seconds at this instance alone; shows bursts. */
  readonly recent: Pick<DemandMeter, 'countRecent'>;
  /** Demand of all instances, used where load controls are on. */
  readonly shared?: SharedDemand;
  /** Engines that have lately changed sides; used likewise. */
  readonly sides?: SideHistory;
}

/** The side of the split that serves a request. */
export interface SplitSide {
  readonly side: PlacementGroup['side'];
  readonly engines: readonly ServingEndpoint[];
  /** Includes engines of the other side while this one has too little room. */
  readonly widened: readonly ServingEndpoint[];
  /** Rate of the routes of this side over all instances. */
  readonly requestsPerS: number;
}

/** Engines of both sides; those of the short one come first. */
interface SplitOrder {
  readonly engines: readonly ServingEndpoint[];
  /** Engines of the short side that have been there for some time. */
  readonly settled: number;
  readonly shortCount: number;
}

/** Utilization of the short side above which it is widened. */
const MAX_SHORT_UTILIZATION = 0.35;

/** See {@link PromptPlacement}. */
export class SideChoice {
  constructor(
    private readonly options: SideChoiceOptions,
    private readonly loads: CorrectedLoads,
  ) {}

  /**
   * The engines of the request's side of the split.
   *
   * @example
   * const {engines, widened} = sides.choose(usable, request);
   */
  choose(
    usable: readonly ServingEndpoint[],
    request: {readonly route: Pick<Route, 'id'>; readonly nowMs: number},
  ): SplitSide {
    this.loads.refresh();
    const service = usable[0].service;
    const {nowMs} = request;
    const {demand, recent} = this.sourcesFor(service, nowMs);
    const demands = demand.read(service, nowMs);
    const shortRoutes = findShortRoutes(demands);
    if (shortRoutes.size === 0 || shortRoutes.size === demands.length) {
      const requestsPerS = sumRequests(demands);
      return {side: 'all', engines: usable, widened: usable, requestsPerS};
    }
    const {
      engines: ordered,
      settled,
      shortCount,
    } = this.order(usable, {
      demands,
      shortRoutes,
      recentCounts: recent.countRecent(service, nowMs),
      nowMs,
    });
    const isShort = shortRoutes.has(request.route.id);
    const requestsPerS = sumRequests(
      demands.filter(({route}) => shortRoutes.has(route) === isShort),
    );
    if (!isShort) {
      const engines = ordered.slice(shortCount);
      return {side: 'long', engines, widened: engines, requestsPerS};
    }
    const widened = widenSide(ordered, settled, {
      loadOf: ({id}) => this.options.monitor.estimateLoad(id, nowMs),
      capacityOf: each => each.capacity * this.loads.speedOf(each, nowMs),
      maxUtilization: MAX_SHORT_UTILIZATION,
    });
    const engines = widened.slice(0, shortCount);
    return {side: 'short', engines, widened, requestsPerS};
  }

  /** The engines in the order of the split, and how many are short. */
  private order(
    usable: readonly ServingEndpoint[],
    split: SplitInput & {readonly nowMs: number},
  ): SplitOrder {
    const {nowMs} = split;
    const hasCorrection =
      findCorrection(usable[0].service, this.options) !== undefined;
    const share = shareOfShortRoutes({
      ...split,
      isChanceByAgreed: hasCorrection,
    });
    const inOrder = orderSlowLast(usable, each =>
      this.loads.isSlow(each, nowMs),
    );
    const shortCount = hasCorrection
      ? splitByCapacity(inOrder, share, each => this.loads.speedOf(each, nowMs))
      : splitCount(inOrder.length, share);
    return {...this.settledFirst(inOrder, shortCount, nowMs), shortCount};
  }

  /** Where the demand of a service is read from. */
  sourcesFor(
    service: ServiceId,
    nowMs: number,
  ): Pick<SideChoiceOptions, 'demand' | 'recent'> {
    const {shared, controls, demand, recent} = this.options;
    const isShared =
      shared !== undefined &&
      controls?.isOn(service) === true &&
      shared.isKnown(nowMs);
    return isShared ? {demand: shared, recent: shared} : {demand, recent};
  }

  /**
   * Where controls are on, those of the first engines that were on the long side
   * lately come last among them.
   */
  private settledFirst(
    engines: readonly ServingEndpoint[],
    shortCount: number,
    nowMs: number,
  ): Omit<SplitOrder, 'shortCount'> {
    const {sides, controls} = this.options;
    const isOn = controls?.isOn(engines[0].service) === true;
    if (sides === undefined || !isOn) return {engines, settled: shortCount};
    const long = engines.slice(shortCount);
    sides.noteLong(long, nowMs);
    const {ordered, settled} = sides.order(engines.slice(0, shortCount), nowMs);
    return {
      engines: [...ordered, ...long],
      settled: settled === 0 ? shortCount : settled,
    };
  }
}

function sumRequests(demands: readonly RouteDemand[]): number {
  return demands.reduce((sum, {requestsPerS}) => sum + requestsPerS, 0);
}
