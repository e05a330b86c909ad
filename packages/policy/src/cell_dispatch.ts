/** Grants permits to what waits in a cell, in the order of its queue. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {PermitAsk} from '@snipestage/types/permits.js';
import type {CellState} from './cell_state.js';
import type {WaitingRequest} from './dispatch_queue.js';
import type {EndpointView} from './endpoint_choice.js';
import {chargeExpected} from './token_costs.js';

/** Dispatches as far as permits go. */
export class CellDispatch {
  constructor(private readonly state: CellState) {}

  run(nowMs: number): void {
    const {queue} = this.state.policy;
    while (queue.size > 0 && this.dispatchOne(nowMs));
  }

  /** Grants the first waiting request that any endpoint can take now. */
  private dispatchOne(nowMs: number): boolean {
    const views = this.state.endpoints.freeViews(nowMs);
    const unplaceable = new Set<string>();
    for (const request of this.state.policy.queue.inDispatchOrder()) {
      const needs = needsOf(request.ask);
      if (unplaceable.has(needs)) continue;
      const endpoint = this.place(request.ask, views, nowMs);
      if (endpoint !== undefined) {
        this.grant(request, endpoint, nowMs);
        return true;
      }
      if (views.length === 0 && !request.ask.suspect) return false;
      unplaceable.add(needs);
    }
    return false;
  }

  private place(
    ask: PermitAsk,
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

/** Requests of equal needs can be placed alike. */
function needsOf(ask: PermitAsk): string {
  if (ask.suspect) return 'suspect';
  return `${ask.cheapAllowed} ${ask.excluded.join(' ')}`;
}
