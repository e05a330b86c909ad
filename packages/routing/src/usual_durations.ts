/** How long answers of each route have taken of late. */

import type {RouteId} from './route.js';

/** Of each route: enough for a share of nine in ten, few enough to be recent. */
const KEPT = 64;
/** Fewer say nothing about the slowest tenth. */
const MIN_KNOWN = 10;
const USUAL_SHARE = 0.9;

/**
 * Keeps the latest durations, of streams to their last event; of what was given
 * up, the time until then.
 */
export class UsualDurations {
  private readonly byRoute = new Map<RouteId, number[]>();

  note(route: RouteId, durationMs: number): void {
    const kept = this.byRoute.get(route) ?? [];
    kept.push(durationMs);
    if (kept.length > KEPT) kept.shift();
    this.byRoute.set(route, kept);
  }

  /**
   * What nine of ten answers took at most, in ms; undefined while too few are
   * known.
   *
   * @example
   * const usualMs = durations.usualMs(route.id);
   */
  usualMs(route: RouteId): number | undefined {
    const kept = this.byRoute.get(route) ?? [];
    if (kept.length < MIN_KNOWN) return undefined;
    const sorted = kept.toSorted((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * USUAL_SHARE) - 1];
  }

  /** Routes that are gone are forgotten. */
  keepOnly(routes: ReadonlySet<RouteId>): void {
    for (const route of this.byRoute.keys()) {
      if (!routes.has(route)) this.byRoute.delete(route);
    }
  }
}
