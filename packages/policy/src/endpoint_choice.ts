/** Which endpoint of a cell runs a request. */

import type {EndpointKind} from '@snipestage/types/configuration.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {PermitAsk} from '@snipestage/types/permits.js';
import type {RandomSource} from './random_source.js';

/** An endpoint as a choice sees it. */
export interface EndpointView {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  /** Permits that it has in all, at least 1. */
  readonly limit: number;
  readonly inFlight: number;
  /** Permits that can be given now, at least 1. */
  readonly free: number;
  /** Its next request tells whether it has recovered. */
  readonly probing: boolean;
}

/** Chooses among endpoints that may run a request and have a permit free. */
export abstract class EndpointChoice {
  /** `candidates` has at least one. */
  abstract choose(
    ask: PermitAsk,
    candidates: readonly EndpointView[],
    random: RandomSource,
  ): EndpointView;
}

/** What decides whether an endpoint may run a request at all. */
export interface EligibleEndpoint {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  readonly leaving: boolean;
}

/**
 * Whether an endpoint may ever run the request, free or not.
 *
 * @example
 * isEligible(ask, endpoint); // false when it is leaving
 */
export function isEligible(
  ask: PermitAsk,
  endpoint: EligibleEndpoint,
): boolean {
  if (endpoint.leaving) return false;
  if (endpoint.kind === 'cheap' && !ask.cheapAllowed) return false;
  return !ask.excluded.includes(endpoint.id);
}

/** Least in flight relative to the limit, the first of equals. */
export function compareLoad(a: EndpointView, b: EndpointView): number {
  return a.inFlight / a.limit - b.inFlight / b.limit;
}
