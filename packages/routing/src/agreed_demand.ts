/** Demand summed over all instances by one of them. */

import type {ServiceId} from '@snipestage/types/ids.js';
import {DemandSource, type RouteDemand} from './demand_meter.js';
import type {RouteId} from './route.js';

/** Options of {@link AgreedDemand}. */
export interface AgreedDemandOptions {
  /** Demand seen by this instance; used while no valid sum is known. */
  readonly own: DemandSource;
  /** How long a sum is valid (60,000 ms): a dozen windows without a new one. */
  readonly validForMs?: number;
}

const DEFAULT_VALID_FOR_MS = 60_000;

interface Agreed {
  readonly demands: readonly RouteDemand[];
  readonly atMs: number;
}

/**
 * Instances that use the same figures split the engines in the same way. With
 * their own figures, one or two requests of a route a second each, they would
 * disagree on some engines, which then get long prompts from one instance and
 * requests that need short pauses from another, and whose streams stutter.
 */
export class AgreedDemand extends DemandSource {
  private readonly agreed = new Map<ServiceId, Agreed>();
  private readonly own: DemandSource;
  private readonly validForMs: number;

  constructor(options: AgreedDemandOptions) {
    super();
    this.own = options.own;
    this.validForMs = options.validForMs ?? DEFAULT_VALID_FOR_MS;
  }

  /**
   * Records a sum over all instances.
   *
   * @example
   * agreed.learn(service, demands, nowMs);
   */
  learn(
    service: ServiceId,
    demands: readonly RouteDemand[],
    nowMs: number,
  ): void {
    this.agreed.set(service, {demands, atMs: nowMs});
  }

  read(service: ServiceId, nowMs: number): readonly RouteDemand[] {
    const agreed = this.agreed.get(service);
    const isValid =
      agreed !== undefined && nowMs - agreed.atMs < this.validForMs;
    return isValid ? agreed.demands : this.own.read(service, nowMs);
  }
}

/**
 * Sums the demands that several instances measured for a service's routes.
 *
 * @example
 * const total = sumDemands([mine, theirs]);
 */
export function sumDemands(
  all: Iterable<readonly RouteDemand[]>,
): readonly RouteDemand[] {
  const total = new Map<RouteId, RouteDemand>();
  for (const demands of all) {
    for (const demand of demands) {
      const before = total.get(demand.route);
      total.set(demand.route, before ? addDemand(before, demand) : demand);
    }
  }
  return [...total.values()];
}

function addDemand(left: RouteDemand, right: RouteDemand): RouteDemand {
  const requestsPerS = left.requestsPerS + right.requestsPerS;
  const tokensPerS =
    left.meanPromptTokens * left.requestsPerS +
    right.meanPromptTokens * right.requestsPerS;
  return {
    ...left,
    workPerS: left.workPerS + right.workPerS,
    requestsPerS,
    meanPromptTokens: tokensPerS / Math.max(1e-9, requestsPerS),
  };
}

/**
 * Whether shares of work have changed enough to be published.
 *
 * @example
 * if (haveSharesChanged(published, now)) publish(now);
 */
export function haveSharesChanged(
  before: readonly RouteDemand[] | undefined,
  now: readonly RouteDemand[],
): boolean {
  if (before?.length !== now.length) return true;
  return now.some(({route, workPerS}) => {
    const former = before.find(each => each.route === route);
    if (former === undefined) return true;
    const change =
      workPerS / totalWork(now) - former.workPerS / totalWork(before);
    return Math.abs(change) > MIN_SHARE_CHANGE;
  });
}

/** Half an engine of a dozen: a smaller change would not change the split. */
const MIN_SHARE_CHANGE = 0.04;

function totalWork(demands: readonly RouteDemand[]): number {
  return demands.reduce((sum, {workPerS}) => sum + workPerS, 1e-9);
}
