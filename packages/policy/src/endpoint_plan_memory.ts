/** Keeps counts from swinging, and remembers where cheap ones are not to be had. */

import type {
  HeldCount,
  PlanOptions,
  PoolMemory,
} from './endpoint_plan_input.js';

/**
 * Rises at once and falls late: loading a model takes minutes, so endpoints
 * given up in a short lull are missed in the next burst. After the wait it
 * falls to the most that was needed meanwhile.
 *
 * @example
 * const held = holdCount(memory.regular, need, nowEpochMs, options);
 */
export function holdCount(
  previous: HeldCount | undefined,
  need: number,
  nowEpochMs: number,
  options: PlanOptions,
): HeldCount {
  if (previous === undefined || need >= previous.count) return {count: need};
  const {count, lowerSinceEpochMs = nowEpochMs, highestSince = 0} = previous;
  const highest = Math.max(highestSince, need);
  if (nowEpochMs - lowerSinceEpochMs >= options.scaleDownAfterMs) {
    return {count: highest};
  }
  return {count, lowerSinceEpochMs, highestSince: highest};
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
