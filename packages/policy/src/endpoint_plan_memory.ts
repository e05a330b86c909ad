/** Keeps counts from swinging, and remembers where cheap ones are not to be had. */

import type {
  HeldCount,
  PlanOptions,
  PoolMemory,
} from './endpoint_plan_input.js';

/**
 * Rises soon and falls late. Demand is measured in moments: a peak of a few
 * seconds would be paid for as long as a count is held, so it rises only to what
 * has been needed throughout a short wait. And loading a model takes minutes,
 * so endpoints given up in a lull are missed in the next burst; it falls to the
 * most that was needed throughout a long wait.
 *
 * @param mayFall false while what is to take over is not there yet.
 * @example
 * const held = holdCount(memory.regular, need, nowEpochMs, options);
 */
export function holdCount(
  previous: HeldCount | undefined,
  need: number,
  nowEpochMs: number,
  options: PlanOptions,
  mayFall = true,
): HeldCount {
  if (previous === undefined) return {count: need};
  const {count} = previous;
  if (need === count || (need < count && !mayFall)) return {count};
  const isRise = need > count;
  const other = previous.other?.isRise === isRise ? previous.other : undefined;
  const sinceEpochMs = other?.sinceEpochMs ?? nowEpochMs;
  const closest = isRise
    ? Math.min(other?.closest ?? need, need)
    : Math.max(other?.closest ?? need, need);
  const waitMs = isRise ? options.scaleUpAfterMs : options.scaleDownAfterMs;
  if (nowEpochMs - sinceEpochMs >= waitMs) return {count: closest};
  return {count, other: {isRise, sinceEpochMs, closest}};
}

/** What is remembered of a pool's cheap endpoints. */
type CheapMemory = Pick<
  PoolMemory,
  'cheapShortSinceEpochMs' | 'cheapAwayUntilEpochMs'
>;

/**
 * Notes whether cheap endpoints that were asked for failed to appear for so
 * long that none are to be had; after a while they are asked for again.
 *
 * @param have cheap endpoints that start or are live.
 * @example
 * const note = noteCheap(memory, have, nowEpochMs, options);
 */
export function noteCheap(
  memory: PoolMemory,
  have: number,
  nowEpochMs: number,
  options: PlanOptions,
): CheapMemory {
  const awayUntil = memory.cheapAwayUntilEpochMs;
  if (awayUntil !== undefined && nowEpochMs < awayUntil) {
    return {cheapAwayUntilEpochMs: awayUntil};
  }
  const asked = memory.cheap?.count ?? 0;
  if (have >= asked) return {};
  const shortSince =
    awayUntil === undefined
      ? (memory.cheapShortSinceEpochMs ?? nowEpochMs)
      : nowEpochMs;
  if (nowEpochMs - shortSince < options.cheapWaitMs) {
    return {cheapShortSinceEpochMs: shortSince};
  }
  return {cheapAwayUntilEpochMs: nowEpochMs + options.cheapRetryMs};
}
