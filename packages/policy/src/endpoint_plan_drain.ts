/** Which endpoints of a pool go when it has more than it needs. */

import type {
  EndpointKind,
  EndpointPool,
} from '@snipestage/types/configuration.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {ObservedEndpoint, PoolTarget} from './endpoint_plan_input.js';

/**
 * The target for one kind of a pool's endpoints. Surplus ones first get no new
 * work; the count that is ordered falls only as they become idle, since the
 * platform would otherwise take one that still answers a caller.
 *
 * @example
 * const target = targetOf(pool, 'regular', 2, endpoints);
 */
export function targetOf(
  pool: EndpointPool,
  kind: EndpointKind,
  desired: number,
  endpoints: readonly ObservedEndpoint[],
): PoolTarget {
  const {dataCentre, model} = pool;
  const present = presentOf(pool, kind, endpoints);
  const surplus = Math.max(0, present.length - desired);
  const drained = [...present].sort(compareForDraining).slice(0, surplus);
  const idle = drained.filter(endpoint => endpoint.running === 0);
  return {
    dataCentre,
    model,
    kind,
    targetCount: desired + drained.length - idle.length,
    drain: idsOf(drained),
    release: idsOf(idle),
  };
}

/**
 * The pool's endpoints of a kind that are not on their way out already.
 *
 * @example
 * const have = presentOf(pool, 'cheap', endpoints).length;
 */
export function presentOf(
  {dataCentre, model}: EndpointPool,
  kind: EndpointKind,
  endpoints: readonly ObservedEndpoint[],
): ObservedEndpoint[] {
  return endpoints.filter(
    endpoint =>
      endpoint.dataCentre === dataCentre &&
      endpoint.model === model &&
      endpoint.kind === kind &&
      endpoint.state !== 'leaving',
  );
}

/**
 * Endpoints that get no new work: those that leave by ticket or by the
 * platform's list, and those that the plan drains.
 *
 * @example
 * const leaving = endpointsWithoutNewWork(endpoints, plan.targets);
 */
export function endpointsWithoutNewWork(
  endpoints: readonly ObservedEndpoint[],
  targets: readonly PoolTarget[],
): Set<EndpointId> {
  const leaving = endpoints.filter(endpoint => endpoint.state === 'leaving');
  const drained = targets.flatMap(target => target.drain);
  return new Set([...idsOf(leaving), ...drained]);
}

/** Starting ones first, then those with least to finish. */
function compareForDraining(
  left: ObservedEndpoint,
  right: ObservedEndpoint,
): number {
  return (
    rankOf(left) - rankOf(right) ||
    left.running - right.running ||
    left.id.localeCompare(right.id)
  );
}

function rankOf(endpoint: ObservedEndpoint): number {
  return endpoint.state === 'starting' ? 0 : 1;
}

function idsOf(endpoints: readonly ObservedEndpoint[]): EndpointId[] {
  return endpoints.map(endpoint => endpoint.id);
}
