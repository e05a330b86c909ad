/** Placement for plain services. */

import type {EndpointMonitor} from './endpoint_monitor.js';
import {
  findCorrection,
  findUsable,
  leastBy,
  leaveOutCold,
  leaveOutLimited,
  leaveOutPaced,
  Placement,
  type Placed,
  type PlacementState,
  type PlacementRequest,
} from './placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link LeastLoadedPlacement}. */
export interface LeastLoadedPlacementOptions extends PlacementState {
  /** At least 0 and below 1; spreads instances with equal data. */
  readonly random?: () => number;
}

/**
 * A failed request costs its caller about as much as waiting behind this many
 * others, so that an endpoint that fails everything is tried last.
 */
const FAILURE_COST_IN_REQUESTS = 12;
/**
 * Another data centre costs about a hundredth of a request's work. It counts
 * more than {@link RANDOM_COST_IN_REQUESTS}, so that of equally good endpoints a
 * local one is chosen.
 */
const REMOTE_COST_IN_REQUESTS = 0.2;
const RANDOM_COST_IN_REQUESTS = 0.1;

/** Chooses the shortest expected wait; slow and failing endpoints come last. */
export class LeastLoadedPlacement extends Placement {
  private readonly monitor: EndpointMonitor;
  private readonly random: () => number;

  constructor(private readonly options: LeastLoadedPlacementOptions) {
    super();
    this.monitor = options.monitor;
    this.random = options.random ?? Math.random;
  }

  choose(
    candidates: readonly ServingEndpoint[],
    request: PlacementRequest,
  ): Placed | undefined {
    const all = findUsable(candidates, request, this.options);
    const open = leaveOutLimited(all, all, request, this.options);
    const usable = leaveOutCold(open, open, request, this.options);
    const slownessOf = this.relativeTo(usable, request.nowMs);
    const endpoint = leastBy(this.findOffered(usable, request), each =>
      this.costOf(each, request, slownessOf(each)),
    );
    return endpoint && {endpoint};
  }

  /** The endpoints with room, if any, without those that get a small share. */
  private findOffered(
    usable: readonly ServingEndpoint[],
    request: PlacementRequest,
  ): readonly ServingEndpoint[] {
    const {options, random} = this;
    const withRoom = usable.filter(
      each =>
        findCorrection(each.service, options)?.hasRoomFor(each, request) ??
        true,
    );
    const group = withRoom.length > 0 ? withRoom : usable;
    return leaveOutPaced(group, request, options, random);
  }

  private costOf(
    endpoint: ServingEndpoint,
    {dataCentre, nowMs}: PlacementRequest,
    slowness: number,
  ): number {
    const {id} = endpoint;
    const correction = findCorrection(endpoint.service, this.options);
    const load =
      this.monitor.estimateLoad(id, nowMs) +
      (correction?.extraLoadOf(endpoint, nowMs) ?? 0);
    const failures = this.monitor.failureShare(id, nowMs);
    return (
      (load + 1) * slowness +
      failures * FAILURE_COST_IN_REQUESTS +
      (endpoint.dataCentre === dataCentre ? 0 : REMOTE_COST_IN_REQUESTS) +
      this.random() * RANDOM_COST_IN_REQUESTS
    );
  }

  /**
   * Durations relative to the fastest endpoint: learned by all instances where
   * load controls are on, else by this one.
   */
  private relativeTo(
    usable: readonly ServingEndpoint[],
    nowMs: number,
  ): (endpoint: ServingEndpoint) => number {
    const correction =
      usable.length > 0
        ? findCorrection(usable[0].service, this.options)
        : undefined;
    if (correction !== undefined) {
      const all = usable.map(each => correction.slownessOf(each, nowMs));
      const least = Math.min(...all);
      return each => correction.slownessOf(each, nowMs) / least;
    }
    const typicalMs = this.typicalDurationMs(usable);
    return ({id}) => {
      const ownMs = this.monitor.meanDurationMs(id) ?? typicalMs;
      return Math.max(1, ownMs / typicalMs);
    };
  }

  /** The least mean duration: that of a healthy endpoint. */
  private typicalDurationMs(endpoints: readonly ServingEndpoint[]): number {
    const means = endpoints
      .map(({id}) => this.monitor.meanDurationMs(id))
      .filter(mean => mean !== undefined);
    return means.length === 0 ? 1 : Math.max(1, Math.min(...means));
  }
}
