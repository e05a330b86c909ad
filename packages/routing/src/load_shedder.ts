/** Decides whether a request is refused before an endpoint is chosen. */

import type {ClientAccountId, ServiceId} from '@snipestage/types/ids.js';
import type {Prompt} from './prompt.js';
import type {Route} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** A request that has been admitted and read. */
export interface ArrivedRequest {
  readonly service: ServiceId;
  readonly route: Route;
  readonly prompt: Prompt | undefined;
  readonly clientAccount: ClientAccountId | undefined;
  /** 0 is served first. */
  readonly urgencyRank: number;
  /** Endpoints that may get it. */
  readonly candidates: readonly ServingEndpoint[];
  readonly arrivedAtMs: number;
  readonly endsAtMs: number;
  readonly nowMs: number;
}

export type ShedDecision =
  | {readonly kind: 'admit'}
  | {
      readonly kind: 'refuse';
      /** For the log and the metrics. */
      readonly reason: string;
      /** Time after which a retry may succeed. */
      readonly retryAfterMs: number;
    };

export const ADMIT: ShedDecision = {kind: 'admit'};

/** Consulted once for each request of a service whose load controls are on. */
export abstract class LoadShedder {
  abstract decide(request: ArrivedRequest): ShedDecision;

  /** The request was admitted by all shedders; {@link noteEnded} follows. */
  abstract noteAdmitted(request: ArrivedRequest): void;

  /** An admitted request has got its final answer, or its caller has left. */
  abstract noteEnded(request: ArrivedRequest, nowMs: number): void;
}

/**
 * The first refusal of the shedders in order, or an admission.
 *
 * @example
 * const decision = decideByAll(shedders, request);
 */
export function decideByAll(
  shedders: readonly LoadShedder[],
  request: ArrivedRequest,
): ShedDecision {
  for (const shedder of shedders) {
    const decision = shedder.decide(request);
    if (decision.kind === 'refuse') return decision;
  }
  for (const shedder of shedders) shedder.noteAdmitted(request);
  return ADMIT;
}
