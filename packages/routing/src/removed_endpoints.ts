/** Remembers endpoints that aren't listed any more but may still be answering. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Longer than requests last that an endpoint finishes after it has left. */
const KEEP_MS = 60_000;

interface RemovedEndpoint {
  readonly endpoint: ServingEndpoint;
  readonly removedAtMs: number;
}

/** Endpoints by id, in the order in which they were removed. */
export class RemovedEndpoints {
  private readonly removed = new Map<EndpointId, RemovedEndpoint>();

  /**
   * @example
   * removed.add(endpoint, nowMs);
   */
  add(endpoint: ServingEndpoint, nowMs: number): void {
    this.removed.delete(endpoint.id);
    this.removed.set(endpoint.id, {endpoint, removedAtMs: nowMs});
    for (const [id, {removedAtMs}] of this.removed) {
      if (nowMs - removedAtMs <= KEEP_MS) return;
      this.removed.delete(id);
    }
  }

  /** An endpoint as it was last listed. */
  find(id: EndpointId): ServingEndpoint | undefined {
    return this.removed.get(id)?.endpoint;
  }
}
