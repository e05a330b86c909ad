/** Recent durations of the answers of each route. */

import type {RouteId} from './route.js';

/** Durations kept of each route: enough for a 90th percentile, but recent. */
const KEPT_DURATION_COUNT = 64;
/** Fewer durations say nothing of the next one. */
const MIN_DURATION_COUNT = 10;
const DURATION_QUANTILE = 0.9;

/**
 * Keeps the latest durations. Streams count until their last event, requests
 * that were given up until that moment.
 */
export class RecentDurations {
  private readonly byRoute = new Map<RouteId, number[]>();

  note(route: RouteId, durationMs: number): void {
    const kept = this.byRoute.get(route) ?? [];
    kept.push(durationMs);
    if (kept.length > KEPT_DURATION_COUNT) kept.shift();
    this.byRoute.set(route, kept);
  }

  /**
   * The 90th percentile of the durations in ms; undefined while too few are
   * known.
   *
   * @example
   * const p90Ms = durations.p90Ms(route.id);
   */
  p90Ms(route: RouteId): number | undefined {
    const sorted = this.findEnough(route)?.toSorted((a, b) => a - b);
    return sorted?.[Math.ceil(sorted.length * DURATION_QUANTILE) - 1];
  }

  /**
   * The longest of the durations in ms; undefined while too few are known.
   *
   * @example
   * const longestMs = durations.longestMs(route.id);
   */
  longestMs(route: RouteId): number | undefined {
    const kept = this.findEnough(route);
    return kept && Math.max(...kept);
  }

  private findEnough(route: RouteId): readonly number[] | undefined {
    const kept = this.byRoute.get(route) ?? [];
    return kept.length < MIN_DURATION_COUNT ? undefined : kept;
  }

  /** Forgets routes that are gone. */
  retain(routes: ReadonlySet<RouteId>): void {
    for (const route of this.byRoute.keys()) {
      if (!routes.has(route)) this.byRoute.delete(route);
    }
  }
}
