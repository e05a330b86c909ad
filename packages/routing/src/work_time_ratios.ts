/** How long work takes on endpoints' machines at the moment, as they state it. */

import type {EndpointId} from '@snipestage/types/ids.js';

const KEPT_COUNT = 9;
/** A ratio changes many times per second; an older one says nothing. */
const FRESH_MS = 50;

interface Stated {
  /** The latest ratios, oldest first. */
  readonly ratios: number[];
  /** Relative to the endpoint's usual ratio. */
  latest: number;
  atMs: number;
}

/**
 * Relates each stated ratio to the lower quartile of the endpoint's own ones,
 * as moments only lengthen work. The figure of a machine that is always slow is
 * always higher, also the first one: what remains is the slowness of the moment.
 */
export class WorkTimeRatios {
  private readonly stated = new Map<EndpointId, Stated>();

  /**
   * @returns how long work takes relative to what is usual there.
   * @example
   * const usualMs = durationMs / ratios.note(endpoint.id, ratio, nowMs);
   */
  note(id: EndpointId, ratio: number | undefined, nowMs: number): number {
    if (ratio === undefined) return 1;
    const ratios = this.stated.get(id)?.ratios ?? [];
    ratios.push(ratio);
    if (ratios.length > KEPT_COUNT) ratios.shift();
    const ascending = ratios.toSorted((a, b) => a - b);
    const latest = ratio / ascending[Math.floor((ascending.length - 1) / 4)];
    this.stated.set(id, {ratios, latest, atMs: nowMs});
    return latest;
  }

  /**
   * The ratio of this moment; 1 unless it has just been stated.
   *
   * @example
   * const expectedMs = usualMs * ratios.findFresh(endpoint.id, nowMs);
   */
  findFresh(id: EndpointId, nowMs: number): number {
    const stated = this.stated.get(id);
    return stated !== undefined && nowMs - stated.atMs <= FRESH_MS
      ? stated.latest
      : 1;
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.stated.keys()) {
      if (!ids.has(id)) this.stated.delete(id);
    }
  }

  forget(id: EndpointId): void {
    this.stated.delete(id);
  }
}
