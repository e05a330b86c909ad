/** Work that the routes of a service cause, as measured by one instance. */

import type {ServiceId} from '@snipestage/types/ids.js';
import {workOf, type Prompt} from './prompt.js';
import type {Route, RouteId} from './route.js';

/** Options of {@link DemandMeter}; defaults in brackets. */
export interface DemandMeterOptions {
  /**
   * Half-life of the measured demand (15,000 ms). An instance sees one or two
   * requests of a class a second; over less time its shares vary by a quarter,
   * and instances disagree on which engines serve which routes.
   */
  readonly halfLifeMs?: number;
}

const DEFAULT_HALF_LIFE_MS = 15_000;

interface Demand {
  route: Route;
  /** Sums over requests, decayed by the half-life. */
  work: number;
  requests: number;
  promptTokens: number;
  atMs: number;
}

/** Demand of a route, decayed by the half-life. */
export interface RouteDemand {
  readonly route: RouteId;
  readonly pauseTargetMs: number | undefined;
  /** Prompt tokens and their equivalents a second. */
  readonly workPerS: number;
  readonly requestsPerS: number;
  readonly meanPromptTokens: number;
}

/** Source from which placements read the demand of the routes of a service. */
export abstract class DemandSource {
  abstract read(service: ServiceId, nowMs: number): readonly RouteDemand[];
}

/** Measures decaying demand; times are of one monotonic clock. */
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
    const work = prompt === undefined ? 1 : workOf(prompt, true);
    const promptTokens = prompt?.tokens ?? 0;
    this.add(route, {service, requests: 1, work, promptTokens}, nowMs);
  }

  /** Several requests of one route arrived. */
  add(
    route: Route,
    arrived: {
      readonly service: ServiceId;
      readonly requests: number;
      readonly work: number;
      readonly promptTokens: number;
    },
    nowMs: number,
  ): void {
    const demand = this.of(arrived.service, route, nowMs);
    this.decay(demand, nowMs);
    demand.route = route;
    demand.requests += arrived.requests;
    demand.work += arrived.work;
    demand.promptTokens += arrived.promptTokens;
  }

  /** Forgets routes that are gone. */
  retain(ids: ReadonlySet<RouteId>): void {
    for (const routes of this.demands.values()) {
      for (const id of routes.keys()) {
        if (!ids.has(id)) routes.delete(id);
      }
    }
  }

  /** Services that have had requests. */
  listServices(): readonly ServiceId[] {
    return [...this.demands.keys()];
  }

  /** Demand of each route of a service that has had requests. */
  read(service: ServiceId, nowMs: number): readonly RouteDemand[] {
    const routes = this.demands.get(service);
    if (routes === undefined) return [];
    const perS = (Math.LN2 * 1000) / this.halfLifeMs;
    return [...routes.values()].map(demand => {
      this.decay(demand, nowMs);
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
   * Requests of each route, earlier ones decayed by the half-life.
   *
   * @example
   * const counts = meter.countRecent(service, nowMs);
   */
  countRecent(service: ServiceId, nowMs: number): ReadonlyMap<RouteId, number> {
    const counts = new Map<RouteId, number>();
    for (const demand of this.demands.get(service)?.values() ?? []) {
      this.decay(demand, nowMs);
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

  private decay(demand: Demand, nowMs: number): void {
    const share = 0.5 ** ((nowMs - demand.atMs) / this.halfLifeMs);
    demand.work *= share;
    demand.requests *= share;
    demand.promptTokens *= share;
    demand.atMs = nowMs;
  }
}
