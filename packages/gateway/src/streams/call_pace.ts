/** Spaces calls out, so that those of all instances stay below a limit. */

/** Options of {@link CallPace}. */
export interface CallPaceOptions {
  readonly nowMs: () => number;
  /** Mean time between two calls, in ms; read at each call. */
  readonly intervalMs: () => number;
  /** Number of calls that may follow one another at once after a pause. */
  readonly burst: () => number;
}

/** A leaky bucket: calls beyond a burst wait until the mean pace allows them. */
export class CallPace {
  /** When the calls made so far are used up at the mean pace. */
  private usedUpAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: CallPaceOptions) {}

  /**
   * Takes one call.
   *
   * @returns how long to wait before making it, in ms; 0: none.
   * @example
   * const waitMs = pace.take();
   */
  take(): number {
    const {nowMs, intervalMs, burst} = this.options;
    const atMs = nowMs();
    const beginsAtMs = Math.max(this.usedUpAtMs, atMs);
    const spacingMs = intervalMs();
    this.usedUpAtMs = beginsAtMs + spacingMs;
    return Math.max(0, beginsAtMs - atMs - (burst() - 1) * spacingMs);
  }
}
