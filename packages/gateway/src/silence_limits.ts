/** How long an endpoint may be silent before another is asked. */

import type {Route} from '@snipestage/routing/route.js';

/** Before the first sign of an answer, and between events. */
export interface SilenceLimits {
  readonly firstMs: number;
  readonly nextMs: number;
}

/** An answer twice as late as aimed at is worth another endpoint's try. */
const FIRST_IN_TARGETS = 2;
/** But half of the time has to be left for that try. */
const SHARE_OF_TIME_LEFT = 0.5;
/** Pauses grow several-fold while long prompts are read; this is beyond it. */
const NEXT_IN_PAUSES = 5;
const DEFAULT_PAUSE_MS = 1000;

/**
 * @example
 * const {firstMs} = limitsOnSilence(route, timeLeftMs);
 */
export function limitsOnSilence(
  route: Route,
  timeLeftMs: number,
): SilenceLimits {
  return {
    firstMs: Math.min(
      FIRST_IN_TARGETS * route.latencyTargetMs,
      SHARE_OF_TIME_LEFT * timeLeftMs,
    ),
    nextMs: NEXT_IN_PAUSES * (route.pauseTargetMs ?? DEFAULT_PAUSE_MS),
  };
}
