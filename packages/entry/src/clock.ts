/** Clocks; tests pass their own. */

/** Returns milliseconds since some fixed instant; never decreases. */
export type MonotonicClock = () => number;

/**
 * The process's monotonic clock.
 *
 * @example
 * const startedAtMs = monotonicNowMs();
 */
export const monotonicNowMs: MonotonicClock = () => performance.now();
