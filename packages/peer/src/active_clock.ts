/** A clock of the time during which this process ran. */

/** Options of {@link ActiveClock}. */
export interface ActiveClockOptions {
  /** A monotonic clock. */
  readonly readMonotonicMs?: () => number;
  /** A longer time between two readings counts as a pause. */
  readonly longestGapMs: number;
}

/**
 * A monotonic clock that leaves out the time during which the process was
 * frozen.
 *
 * A process that was stopped for ten seconds has received nothing for ten
 * seconds when it resumes. With an ordinary clock it would hold every other
 * instance dead and publish that, so that all owners would change at once. On
 * this clock the whole pause takes no time.
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

  /** Total of all pauses so far. */
  get totalPausedMs(): number {
    return this.pausedMs;
  }
}
