/** Remembers since when engines leave and when they are taken away. */

import type {EndpointId} from '@snipestage/types/ids.js';
import {
  isOtherIncarnation,
  type EndpointIncarnation,
} from './endpoint_incarnations.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** When an engine leaves; times are of this instance's clock. */
export interface KnownDeparture {
  readonly noticedAtMs: number;
  /** Undefined while the list doesn't say. */
  readonly goesAtMs: number | undefined;
}

/**
 * A row of the list states the time left as of its writing. When the row is read
 * again, only a time that is sooner counts, so that the same row doesn't
 * postpone the departure.
 */
export class EngineDepartures {
  private readonly known = new Map<
    EndpointId,
    {readonly incarnation: EndpointIncarnation; departure: KnownDeparture}
  >();

  /**
   * Records how an endpoint is listed now.
   *
   * @returns when it leaves; undefined while it doesn't.
   * @example
   * const departure = departures.note(endpoint, nowMs);
   */
  note(endpoint: ServingEndpoint, nowMs: number): KnownDeparture | undefined {
    const {id, leavesInMs} = endpoint;
    const before = this.known.get(id);
    const isSame =
      before !== undefined && !isOtherIncarnation(before.incarnation, endpoint);
    if (!endpoint.isLeaving) {
      this.known.delete(id);
      return undefined;
    }
    const old = isSame ? before.departure : undefined;
    const statedAtMs =
      leavesInMs === undefined ? undefined : nowMs + leavesInMs;
    const departure = {
      noticedAtMs: old?.noticedAtMs ?? nowMs,
      goesAtMs: earliest(old?.goesAtMs, statedAtMs),
    };
    this.known.set(id, {incarnation: endpoint, departure});
    return departure;
  }

  /** Undefined for an engine that wasn't seen to leave. */
  find(endpoint: EndpointIncarnation): KnownDeparture | undefined {
    const known = this.known.get(endpoint.id);
    const isSame =
      known !== undefined && !isOtherIncarnation(known.incarnation, endpoint);
    return isSame ? known.departure : undefined;
  }

  /** Forgets all other engines. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.known.keys()) {
      if (!ids.has(id)) this.known.delete(id);
    }
  }
}

function earliest(
  one: number | undefined,
  other: number | undefined,
): number | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return Math.min(one, other);
}
