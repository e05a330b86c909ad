/** Clocks; tests pass their own. */

/** Milliseconds since some fixed instant; never goes back. */
export type MonotonicClock = () => number;

/**
 * The process's monotonic clock.
 *
 * @example
 * const startedAtMs = monotonicNowMs();
 */
export const monotonicNowMs: MonotonicClock = () => performance.now();
