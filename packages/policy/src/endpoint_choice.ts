/** Chooses the endpoint of a cell that runs a request. */

import type {EndpointKind} from '@snipestage/types/configuration.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {CellPermitRequest} from '@snipestage/types/permits.js';
import type {RandomSource} from './random_source.js';

/** Properties of an endpoint that a choice depends on. */
export interface EndpointView {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  /** Permits in total, at least 1. */
  readonly limit: number;
  readonly inFlight: number;
  /** Permits that can be granted now, at least 1. */
  readonly free: number;
  /** Its next request is a probe of whether it has recovered. */
  readonly probing: boolean;
}

/** Chooses among endpoints that may run a request and have a permit free. */
export abstract class EndpointChoice {
  /** `candidates` is not empty. */
  abstract choose(
    ask: CellPermitRequest,
    candidates: readonly EndpointView[],
    random: RandomSource,
  ): EndpointView;
}

/** Properties that decide whether an endpoint may run a request at all. */
export interface EligibleEndpoint {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  readonly leaving: boolean;
}

/**
 * Whether an endpoint may run the request, regardless of free permits.
 *
 * @example
 * isEligible(ask, endpoint); // false when it is leaving
 */
export function isEligible(
  ask: CellPermitRequest,
  endpoint: EligibleEndpoint,
): boolean {
  if (endpoint.leaving) return false;
  if (endpoint.kind === 'cheap' && !ask.cheapAllowed) return false;
  return !ask.excluded.includes(endpoint.id);
}

/**
 * Compares requests in flight relative to the limit, the least loaded first; 0
 * for equals, of which callers take the first.
 */
export function compareLoad(a: EndpointView, b: EndpointView): number {
  return a.inFlight / a.limit - b.inFlight / b.limit;
}
