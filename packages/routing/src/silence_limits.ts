/**
 * How long an endpoint may be silent before it counts as full, and before
 * another one is tried.
 */

import type {Route} from './route.js';

/**
 * Limits until the first event, or the end of an answer without events, and
 * between events.
 */
export interface SilenceLimits {
  readonly firstMs: number;
  readonly nextMs: number;
}

/** An answer that takes twice its target is worth a try of another endpoint. */
const FIRST_LIMIT_TARGET_FACTOR = 2;
/** At least half of the time left has to remain for that try. */
const FIRST_LIMIT_TIME_LEFT_SHARE = 0.5;
/**
 * Pauses grow several-fold while an engine reads long prompts, but less than
 * this.
 */
const NEXT_LIMIT_PAUSE_FACTOR = 5;
const DEFAULT_PAUSE_TARGET_MS = 1000;
/** A healthy endpoint may send nothing for about a second and then go on. */
const MIN_NEXT_LIMIT_MS = 1250;

/**
 * Computes the limits of an attempt with this much time left.
 *
 * @example
 * const {firstMs} = limitsOnSilence(route, timeLeftMs);
 */
export function limitsOnSilence(
  route: Route,
  timeLeftMs: number,
): SilenceLimits {
  return {
    firstMs: Math.min(
      FIRST_LIMIT_TARGET_FACTOR * route.latencyTargetMs,
      FIRST_LIMIT_TIME_LEFT_SHARE * timeLeftMs,
    ),
    nextMs: Math.max(
      MIN_NEXT_LIMIT_MS,
      NEXT_LIMIT_PAUSE_FACTOR *
        (route.pauseTargetMs ?? DEFAULT_PAUSE_TARGET_MS),
    ),
  };
}

/** A wait that is longer than usual by this factor shows a busy endpoint. */
const USUAL_WAIT_FACTOR = 2;
const MIN_OVERDUE_TARGET_SHARE = 0.5;
const MAX_OVERDUE_TARGET_SHARE = 2;

/**
 * Time after which a request that waits for its answer to begin shows that its
 * endpoint is full, or stands still. The request itself goes on waiting.
 *
 * @param usualWaitMs 90th percentile of the route's recent waits; undefined
 *   while not known.
 * @example
 * const limitMs = overdueAfterMs(route, waits.p90Ms(route.id));
 */
export function overdueAfterMs(
  {latencyTargetMs}: Pick<Route, 'latencyTargetMs'>,
  usualWaitMs: number | undefined,
): number {
  if (usualWaitMs === undefined) return latencyTargetMs;
  return Math.min(
    MAX_OVERDUE_TARGET_SHARE * latencyTargetMs,
    Math.max(
      MIN_OVERDUE_TARGET_SHARE * latencyTargetMs,
      USUAL_WAIT_FACTOR * usualWaitMs,
    ),
  );
}
