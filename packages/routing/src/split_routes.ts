/** Knows which routes' requests each engine gets by the split. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import type {RouteId} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Routes by engine. */
export type RoutesByEngine = ReadonlyMap<EndpointId, ReadonlySet<RouteId>>;

/** Options of {@link SplitRoutes}; default in brackets. */
export interface SplitRoutesOptions {
  readonly readSplit: (service: ServiceId, nowMs: number) => RoutesByEngine;
  /** How long a split is used (250 ms); it is read for each engine. */
  readonly validForMs?: number;
}

const DEFAULT_VALID_FOR_MS = 250;

interface KnownSplit {
  readonly routes: RoutesByEngine;
  readonly atMs: number;
}

/** Keeps the latest split of each service. */
export class SplitRoutes {
  private readonly splits = new Map<ServiceId, KnownSplit>();
  private readonly validForMs: number;

  constructor(private readonly options: SplitRoutesOptions) {
    this.validForMs = options.validForMs ?? DEFAULT_VALID_FOR_MS;
  }

  /**
   * Undefined for an engine that is not part of the split.
   *
   * @example
   * const routes = split.routesAt(engine, nowMs);
   */
  routesAt(
    {id, service}: ServingEndpoint,
    nowMs: number,
  ): ReadonlySet<RouteId> | undefined {
    const known = this.splits.get(service);
    if (known !== undefined && nowMs - known.atMs < this.validForMs)
      return known.routes.get(id);
    const routes = this.options.readSplit(service, nowMs);
    this.splits.set(service, {routes, atMs: nowMs});
    return routes.get(id);
  }
}
