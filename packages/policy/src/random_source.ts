/** Random numbers passed in by callers, so that decisions can be replayed. */

/** Returns the next number, at least 0 and below 1. */
export type RandomSource = () => number;

const STEP = 0x6d2b79f5;
const RANGE = 2 ** 32;

/**
 * A seeded source (mulberry32) for tests, simulations and measurements.
 *
 * @example
 * const random = createSeededRandom(7);
 * random(); // the same for each run
 */
export function createSeededRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  return () => {
    state = (state + STEP) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
  };
}
