/** Limits that endpoints in need name in their answers. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** How a limit has changed with an answer. */
export type LimitChange = 'named' | 'changed' | 'lifted';

/** Known limits, in requests a second from all instances together. */
export class EndpointLimits {
  private readonly limits = new Map<EndpointId, number>();

  /**
   * An answer of an endpoint came.
   *
   * @param requestsPerS what it named; undefined when it named none.
   * @returns undefined when nothing has changed.
   * @example
   * const change = limits.note(endpoint.id, head.requestsPerS);
   */
  note(
    id: EndpointId,
    requestsPerS: number | undefined,
  ): LimitChange | undefined {
    const before = this.limits.get(id);
    if (before === requestsPerS) return undefined;
    if (requestsPerS === undefined) {
      this.limits.delete(id);
      return 'lifted';
    }
    this.limits.set(id, requestsPerS);
    return before === undefined ? 'named' : 'changed';
  }

  /** Requests a second; undefined for an endpoint without a limit. */
  find(id: EndpointId): number | undefined {
    return this.limits.get(id);
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.limits.keys()) {
      if (!ids.has(id)) this.limits.delete(id);
    }
  }
}
