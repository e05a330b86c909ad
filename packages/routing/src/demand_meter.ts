/** How much work the routes of a service bring, as one instance sees it. */

import type {ServiceId} from '@snipestage/types/ids.js';
import {workOf, type Prompt} from './prompt.js';
import type {Route, RouteId} from './route.js';

/** What a {@link DemandMeter} is made from; defaults in the brackets. */
export interface DemandMeterOptions {
  /**
   * Half-life of what was seen (15,000 ms). An instance sees a request or two
   * of a class a second; over less time its shares waver by a quarter, and
   * instances disagree on which engines serve which routes.
   */
  readonly halfLifeMs?: number;
}

const DEFAULT_HALF_LIFE_MS = 15_000;

interface Demand {
  route: Route;
  /** Faded sums over requests. */
  work: number;
  requests: number;
  promptTokens: number;
  atMs: number;
}

/** Faded demand of a route. */
export interface RouteDemand {
  readonly route: RouteId;
  readonly pauseTargetMs: number | undefined;
  /** Prompt tokens and their equivalents, a second. */
  readonly workPerS: number;
  readonly requestsPerS: number;
  readonly meanPromptTokens: number;
}

/** Where placements learn what the routes of a service bring. */
export abstract class DemandSource {
  abstract read(service: ServiceId, nowMs: number): readonly RouteDemand[];
}

/** Fades by half-life; times are of one clock that does not go back. */
export class DemandMeter extends DemandSource {
  private readonly demands = new Map<ServiceId, Map<RouteId, Demand>>();
  private readonly halfLifeMs: number;

  constructor(options: DemandMeterOptions = {}) {
    super();
    this.halfLifeMs = options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
  }

  /**
   * A request arrived.
   *
   * @example
   * meter.count(service, route, prompt, nowMs);
   */
  count(
    service: ServiceId,
    route: Route,
    prompt: Prompt | undefined,
    nowMs: number,
  ): void {
    const demand = this.of(service, route, nowMs);
    this.fade(demand, nowMs);
    demand.route = route;
    demand.requests += 1;
    demand.work += prompt === undefined ? 1 : workOf(prompt, true);
    demand.promptTokens += prompt?.tokens ?? 0;
  }

  /** Services that had requests lately. */
  listServices(): readonly ServiceId[] {
    return [...this.demands.keys()];
  }

  /** Demand of each route of a service that had requests lately. */
  read(service: ServiceId, nowMs: number): readonly RouteDemand[] {
    const routes = this.demands.get(service);
    if (routes === undefined) return [];
    const perS = (Math.LN2 * 1000) / this.halfLifeMs;
    return [...routes.values()].map(demand => {
      this.fade(demand, nowMs);
      return {
        route: demand.route.id,
        pauseTargetMs: demand.route.pauseTargetMs,
        workPerS: demand.work * perS,
        requestsPerS: demand.requests * perS,
        meanPromptTokens: demand.promptTokens / Math.max(1e-9, demand.requests),
      };
    });
  }

  /**
   * Requests of each route, the latest in full and earlier ones faded.
   *
   * @example
   * const counts = meter.countRecent(service, nowMs);
   */
  countRecent(service: ServiceId, nowMs: number): ReadonlyMap<RouteId, number> {
    const counts = new Map<RouteId, number>();
    for (const demand of this.demands.get(service)?.values() ?? []) {
      this.fade(demand, nowMs);
      counts.set(demand.route.id, demand.requests);
    }
    return counts;
  }

  private of(service: ServiceId, route: Route, nowMs: number): Demand {
    const routes = this.demands.get(service) ?? new Map<RouteId, Demand>();
    this.demands.set(service, routes);
    const existing = routes.get(route.id);
    if (existing !== undefined) return existing;
    const demand = {route, work: 0, requests: 0, promptTokens: 0, atMs: nowMs};
    routes.set(route.id, demand);
    return demand;
  }

  private fade(demand: Demand, nowMs: number): void {
    const share = 0.5 ** ((nowMs - demand.atMs) / this.halfLifeMs);
    demand.work *= share;
    demand.requests *= share;
    demand.promptTokens *= share;
    demand.atMs = nowMs;
  }
}
