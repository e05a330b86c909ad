/** Time during which this process ran. */

/** What an {@link ActiveClock} is made from. */
export interface ActiveClockOptions {
  /** A monotonic clock. */
  readonly readMonotonicMs?: () => number;
  /** A longer time between two readings was a pause. */
  readonly longestGapMs: number;
}

/**
 * A monotonic clock that leaves out the time during which the process was
 * frozen.
 *
 * A process that was stopped for ten seconds finds on waking that it has heard
 * from nobody for ten seconds. Without this clock it would hold every other
 * instance dead and tell so; one would see all owners change at once. Here the
 * pause counts as no time at all.
 *
 * @example
 * const clock = new ActiveClock({longestGapMs: 1000});
 * const nowMs = clock.readMs();
 */
export class ActiveClock {
  private readonly readMonotonicMs: () => number;
  private readonly longestGapMs: number;
  private lastMonotonicMs: number;
  private pausedMs = 0;

  constructor(options: ActiveClockOptions) {
    this.readMonotonicMs = options.readMonotonicMs ?? (() => performance.now());
    this.longestGapMs = options.longestGapMs;
    this.lastMonotonicMs = this.readMonotonicMs();
  }

  readMs(): number {
    const monotonicMs = this.readMonotonicMs();
    const gapMs = monotonicMs - this.lastMonotonicMs;
    if (gapMs > this.longestGapMs) this.pausedMs += gapMs;
    this.lastMonotonicMs = monotonicMs;
    return monotonicMs - this.pausedMs;
  }

  /** All pauses so far. */
  get totalPausedMs(): number {
    return this.pausedMs;
  }
}
