/** What one instance may start at a cell without asking. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {Allotment, PermitAsk} from '@snipestage/types/permits.js';
import type {CellEndpoint} from './cell_messages.js';
import {isEligible, type EndpointView} from './endpoint_choice.js';

/** An allotment and its use, for the state dump. */
export interface AllotmentSnapshot {
  readonly sequence: number;
  readonly endpoints: ReadonlyArray<{
    readonly endpoint: EndpointId;
    readonly permits: number;
    readonly used: number;
  }>;
}

/** The allotment in force and how much of it is used. */
export class ClientAllotment {
  private sequence = 0;
  private permits = new Map<EndpointId, number>();
  private readonly used = new Map<EndpointId, number>();
  /** Whole limits of the endpoints as the owner has learnt them. */
  readonly learntLimits = new Map<EndpointId, number>();

  /** Takes over a newer allotment; false if it is not newer. */
  apply(allotment: Allotment): boolean {
    this.learnLimits(allotment);
    if (allotment.sequence <= this.sequence) return false;
    this.sequence = allotment.sequence;
    this.permits = new Map(
      allotment.endpoints.map(({endpoint, permits}) => [endpoint, permits]),
    );
    return true;
  }

  /** Another owner counts anew; what runs it is told one by one. */
  reset(): void {
    this.sequence = 0;
    this.permits.clear();
    this.used.clear();
  }

  use(endpoint: EndpointId): void {
    this.used.set(endpoint, (this.used.get(endpoint) ?? 0) + 1);
  }

  giveBack(endpoint: EndpointId): void {
    this.used.set(endpoint, Math.max(0, (this.used.get(endpoint) ?? 0) - 1));
  }

  /** Requests that could start without asking. */
  get free(): number {
    let free = 0;
    for (const [endpoint, permits] of this.permits) {
      free += Math.max(0, permits - (this.used.get(endpoint) ?? 0));
    }
    return free;
  }

  /** Endpoints where the request may start at once. */
  viewsFor(ask: PermitAsk, endpoints: readonly CellEndpoint[]): EndpointView[] {
    const views: EndpointView[] = [];
    for (const endpoint of endpoints) {
      const {id, kind} = endpoint;
      const limit = this.permits.get(id) ?? 0;
      const inFlight = this.used.get(id) ?? 0;
      if (inFlight >= limit || !isEligible(ask, endpoint)) continue;
      const free = limit - inFlight;
      views.push({id, kind, limit, inFlight, free, probing: false});
    }
    return views;
  }

  /** An allotment that is said again has the limits of now. */
  private learnLimits({endpoints}: Allotment): void {
    for (const {endpoint, limit} of endpoints) {
      if (limit !== undefined && limit > 0) {
        this.learntLimits.set(endpoint, limit);
      }
    }
  }

  snapshot(): AllotmentSnapshot {
    const endpoints = [...this.permits].map(([endpoint, permits]) => ({
      endpoint,
      permits,
      used: this.used.get(endpoint) ?? 0,
    }));
    return {sequence: this.sequence, endpoints};
  }
}
