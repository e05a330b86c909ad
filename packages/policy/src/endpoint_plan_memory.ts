/**
 * Damps changes of counts, and tracks where cheap endpoints are unavailable.
 */

import type {
  DampedCount,
  PlanOptions,
  PoolMemory,
} from './endpoint_plan_input.js';

/**
 * Applies hysteresis to a count: it rises soon and falls late. Demand is
 * measured at single moments, and a peak of a few seconds would be paid for as
 * long as the count is kept; so the count rises only to what was needed
 * throughout a short wait. Loading a model takes minutes, so endpoints given up
 * in a lull are missed in the next burst; so the count falls only to the most
 * that was needed at any time during a long wait.
 *
 * @param mayFall false while the endpoints that take over are not live yet.
 * @example
 * const held = dampCount(memory.regular, need, nowEpochMs, options);
 */
export function dampCount(
  previous: DampedCount | undefined,
  need: number,
  nowEpochMs: number,
  options: PlanOptions,
  mayFall = true,
): DampedCount {
  if (previous === undefined) return {count: need};
  const {count} = previous;
  if (need === count || (need < count && !mayFall)) return {count};
  const isRise = need > count;
  const pendingChange =
    previous.pendingChange?.isRise === isRise
      ? previous.pendingChange
      : undefined;
  const sinceEpochMs = pendingChange?.sinceEpochMs ?? nowEpochMs;
  const closest = isRise
    ? Math.min(pendingChange?.closest ?? need, need)
    : Math.max(pendingChange?.closest ?? need, need);
  const waitMs = isRise ? options.scaleUpAfterMs : options.scaleDownAfterMs;
  if (nowEpochMs - sinceEpochMs >= waitMs) return {count: closest};
  return {count, pendingChange: {isRise, sinceEpochMs, closest}};
}

/** Whether a pool's cheap endpoints are missing or unavailable. */
type CheapAvailability = Pick<
  PoolMemory,
  'cheapShortSinceEpochMs' | 'cheapAwayUntilEpochMs'
>;

/**
 * Takes cheap endpoints as unavailable when planned ones have been missing for
 * `cheapWaitMs`; after `cheapRetryMs` they are ordered again.
 *
 * @param have number of cheap endpoints that are starting or live.
 * @example
 * const note = trackCheapAvailability(memory, have, nowEpochMs, options);
 */
export function trackCheapAvailability(
  memory: PoolMemory,
  have: number,
  nowEpochMs: number,
  options: PlanOptions,
): CheapAvailability {
  const unavailableUntil = memory.cheapAwayUntilEpochMs;
  if (unavailableUntil !== undefined && nowEpochMs < unavailableUntil) {
    return {cheapAwayUntilEpochMs: unavailableUntil};
  }
  const planned = memory.cheap?.count ?? 0;
  if (have >= planned) return {};
  const shortSince =
    unavailableUntil === undefined
      ? (memory.cheapShortSinceEpochMs ?? nowEpochMs)
      : nowEpochMs;
  if (nowEpochMs - shortSince < options.cheapWaitMs) {
    return {cheapShortSinceEpochMs: shortSince};
  }
  return {cheapAwayUntilEpochMs: nowEpochMs + options.cheapRetryMs};
}
