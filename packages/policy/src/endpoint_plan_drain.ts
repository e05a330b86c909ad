/** Drains and releases endpoints of a pool that has more than it needs. */

import type {
  EndpointKind,
  EndpointPool,
} from '@snipestage/types/configuration.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {ObservedEndpoint, PoolTarget} from './endpoint_plan_input.js';

/** Time, and state of the endpoints that are already drained. */
export interface DrainState {
  readonly nowEpochMs: number;
  readonly settleMs: number;
  readonly drainedSinceEpochMs: Readonly<Record<string, number>>;
}

/**
 * The target for one kind of a pool's endpoints. Surplus endpoints first get no
 * new work; the ordered count falls only as they become idle, since the
 * platform would otherwise remove one that still answers a caller. A live
 * endpoint that has just been drained may look idle while another instance,
 * which does not know of the drain yet, sends it a request; so it is released
 * only after `settleMs`.
 *
 * @example
 * const target = targetOf(pool, 'regular', 2, endpoints, state);
 */
export function targetOf(
  pool: EndpointPool,
  kind: EndpointKind,
  desired: number,
  endpoints: readonly ObservedEndpoint[],
  state: DrainState,
): PoolTarget {
  const {dataCentre, model} = pool;
  const present = presentOf(pool, kind, endpoints);
  const surplus = Math.max(0, present.length - desired);
  const drained = [...present]
    .sort((left, right) => compareForDraining(left, right, state))
    .slice(0, surplus);
  const released = drained.filter(endpoint => isIdle(endpoint, state));
  return {
    dataCentre,
    model,
    kind,
    targetCount: desired + drained.length - released.length,
    drain: idsOf(drained),
    release: idsOf(released),
  };
}

/**
 * When each drained endpoint was first drained, for the next plan.
 *
 * @example
 * const drainedSinceEpochMs = recordDrainStarts(targets, state);
 */
export function recordDrainStarts(
  targets: readonly PoolTarget[],
  state: DrainState,
): Record<string, number> {
  const drained = targets.flatMap(target => target.drain);
  const entries = drained.map(id => [
    id,
    state.drainedSinceEpochMs[id] ?? state.nowEpochMs,
  ]);
  return Object.fromEntries(entries);
}

function isIdle(endpoint: ObservedEndpoint, state: DrainState): boolean {
  if (endpoint.state === 'starting') return true;
  const since = state.drainedSinceEpochMs[endpoint.id] ?? state.nowEpochMs;
  const hasSettled = state.nowEpochMs - since >= state.settleMs;
  return hasSettled && endpoint.running === 0;
}

/**
 * The pool's endpoints of a kind that are not leaving.
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
 * Endpoints that get no new work: those that are leaving, by ticket or by the
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

/** Already drained ones, then starting ones, then those with least running. */
function compareForDraining(
  left: ObservedEndpoint,
  right: ObservedEndpoint,
  state: DrainState,
): number {
  return (
    rankOf(left, state) - rankOf(right, state) ||
    left.running - right.running ||
    left.id.localeCompare(right.id)
  );
}

function rankOf(endpoint: ObservedEndpoint, state: DrainState): number {
  if (endpoint.id in state.drainedSinceEpochMs) return 0;
  return endpoint.state === 'starting' ? 1 : 2;
}

function idsOf(endpoints: readonly ObservedEndpoint[]): EndpointId[] {
  return endpoints.map(endpoint => endpoint.id);
}
