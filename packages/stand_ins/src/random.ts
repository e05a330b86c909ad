/** Seeded random numbers: one seed gives the same numbers in every run. */

/** Returns uniformly distributed numbers from 0 up to, but not including, 1. */
export type RandomSource = () => number;

const GOLDEN_RATIO_INCREMENT = 0x9e3779b9;
const TWO_POW_32 = 2 ** 32;

/**
 * The splitmix32 generator (Steele, Lea and Flood 2014, in 32 bits).
 *
 * @example
 * const random = seededRandom(42);
 * random();
 */
export function seededRandom(seed: number): RandomSource {
  let state = seed | 0;
  return () => {
    state = (state + GOLDEN_RATIO_INCREMENT) | 0;
    let mixed = state ^ (state >>> 16);
    mixed = Math.imul(mixed, 0x21f0aaad);
    mixed ^= mixed >>> 15;
    mixed = Math.imul(mixed, 0x735a2d97);
    mixed ^= mixed >>> 15;
    return (mixed >>> 0) / TWO_POW_32;
  };
}

/**
 * An exponentially distributed number.
 *
 * @example
 * const nextArrivalMs = exponential(random, 1000 / ratePerSecond);
 */
export function exponential(random: RandomSource, mean: number): number {
  return -mean * Math.log(1 - random());
}
