/** How much longer the longest pauses of streams are than their usual ones. */

import type {RouteId} from './route.js';

/** Streams kept of each route: the latest minute or two of an instance. */
const KEPT_COUNT = 48;
/** With fewer streams their share of late ones is meaningless. */
const MIN_COUNT = 10;

/**
 * Keeps, for the latest streams of each route, the longest pause relative to the
 * learned pace of the endpoint. It depends on the prompts that are read beside
 * the route's streams, and scales with the endpoint's speed as reading does.
 */
export class PauseStretch {
  private readonly byRoute = new Map<RouteId, number[]>();
  private readonly ofAll: number[] = [];

  note(route: RouteId, stretch: number): void {
    const ofRoute = this.byRoute.get(route) ?? [];
    this.byRoute.set(route, ofRoute);
    for (const kept of [ofRoute, this.ofAll]) {
      kept.push(stretch);
      if (kept.length > KEPT_COUNT) kept.shift();
    }
  }

  /**
   * Share of the route's streams whose longest pause exceeds this multiple of
   * the pace. While few are known, those of all routes stand for them: an
   * instance sees a stream of a rare route every few seconds.
   *
   * @example
   * const late = stretch.shareAbove(route.id, pauseTargetMs / paceMs);
   */
  shareAbove(route: RouteId, multiple: number): number {
    const ofRoute = this.byRoute.get(route) ?? [];
    const kept = ofRoute.length < MIN_COUNT ? this.ofAll : ofRoute;
    if (kept.length < MIN_COUNT) return 0;
    return kept.filter(each => each > multiple).length / kept.length;
  }
}
