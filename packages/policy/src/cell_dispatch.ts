/** Grants permits to the requests that wait in a cell, in queue order. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {CellPermitRequest} from '@snipestage/types/permits.js';
import type {CellState} from './cell_state.js';
import type {WaitingRequest} from './dispatch_queue.js';
import type {EndpointView} from './endpoint_choice.js';
import {chargeExpected} from './token_costs.js';

/** Grants permits as long as a waiting request can be placed. */
export class CellDispatch {
  constructor(private readonly state: CellState) {}

  run(nowMs: number): void {
    const {queue} = this.state.policy;
    while (queue.size > 0 && this.dispatchOne(nowMs));
  }

  /**
   * Grants a permit to the first waiting request that an endpoint can take now.
   */
  private dispatchOne(nowMs: number): boolean {
    const views = this.state.endpoints.freeViews(nowMs);
    const unplaceable = new Set<string>();
    for (const request of this.state.policy.queue.inDispatchOrder()) {
      const placementKey = placementKeyOf(request.ask);
      if (unplaceable.has(placementKey)) continue;
      const endpoint = this.place(request.ask, views, nowMs);
      if (endpoint !== undefined) {
        this.grant(request, endpoint, nowMs);
        return true;
      }
      if (views.length === 0 && !request.ask.suspect) return false;
      unplaceable.add(placementKey);
    }
    return false;
  }

  private place(
    ask: CellPermitRequest,
    views: readonly EndpointView[],
    nowMs: number,
  ): EndpointId | undefined {
    const {endpoints, policy, random} = this.state;
    if (ask.suspect) return endpoints.claimForSuspect(ask, nowMs);
    const candidates = endpoints.eligible(ask, views);
    if (candidates.length === 0) return undefined;
    return policy.choice.choose(ask, candidates, random).id;
  }

  private grant(
    {ask, instance}: WaitingRequest,
    endpoint: EndpointId,
    nowMs: number,
  ): void {
    const {state} = this;
    const permit = {
      attempt: ask.attempt,
      instance,
      endpoint,
      clientAccount: ask.clientAccount,
      requestClass: ask.requestClass,
      tier: ask.tier,
      suspect: ask.suspect,
      underAllotment: false,
      sinceMs: nowMs,
      confirmed: false,
      chargedTokens: 0,
      outputTokens: 0,
    };
    chargeExpected(state.policy.queue, permit, ask.expectedTokens);
    state.policy.queue.dispatch(ask.attempt);
    state.hold(permit, nowMs);
    state.counters.granted++;
    state.sendGrant(permit);
  }
}

/**
 * Requests with equal keys are treated as equally placeable: once one of them
 * can't be placed, the others are skipped. Each suspect has its own key: only
 * the one that holds a claim on an endpoint can be placed.
 */
function placementKeyOf(ask: CellPermitRequest): string {
  if (ask.suspect) return `suspect ${ask.attempt}`;
  return `${ask.cheapAllowed} ${ask.excluded.join(' ')}`;
}
