/** Permits of a cell that one instance may use without requesting them. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {Allotment, CellPermitRequest} from '@snipestage/types/permits.js';
import type {CellEndpoint} from './cell_messages.js';
import {isEligible, type EndpointView} from './endpoint_choice.js';

/** State of an allotment and its use, for the state dump. */
export interface AllotmentSnapshot {
  readonly sequence: number;
  readonly endpoints: ReadonlyArray<{
    readonly endpoint: EndpointId;
    readonly permits: number;
    readonly used: number;
  }>;
}

/** The allotment in force and how much of it is in use. */
export class ClientAllotment {
  private sequence = 0;
  private permits = new Map<EndpointId, number>();
  private readonly used = new Map<EndpointId, number>();
  /** Full limits of the endpoints, as learnt by the owner. */
  readonly learntLimits = new Map<EndpointId, number>();

  /** Applies an allotment; false if it is not newer than the one in force. */
  apply(allotment: Allotment): boolean {
    this.learnLimits(allotment);
    if (allotment.sequence <= this.sequence) return false;
    this.sequence = allotment.sequence;
    this.permits = new Map(
      allotment.endpoints.map(({endpoint, permits}) => [endpoint, permits]),
    );
    return true;
  }

  /**
   * Clears the allotment and its use for a new owner, which counts from zero
   * and gets the running attempts individually.
   */
  reset(): void {
    this.sequence = 0;
    this.permits.clear();
    this.used.clear();
  }

  use(endpoint: EndpointId): void {
    this.used.set(endpoint, (this.used.get(endpoint) ?? 0) + 1);
  }

  returnPermit(endpoint: EndpointId): void {
    this.used.set(endpoint, Math.max(0, (this.used.get(endpoint) ?? 0) - 1));
  }

  /** Number of requests that could start under the allotment. */
  get free(): number {
    let free = 0;
    for (const [endpoint, permits] of this.permits) {
      free += Math.max(0, permits - (this.used.get(endpoint) ?? 0));
    }
    return free;
  }

  /** Endpoints at which the request may start under the allotment. */
  viewsFor(
    ask: CellPermitRequest,
    endpoints: readonly CellEndpoint[],
  ): EndpointView[] {
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

  /**
   * Takes the limits of every allotment: a repeated one has the current limits.
   */
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
