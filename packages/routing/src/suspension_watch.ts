/**
 * Notices that the process did not run for a while.
 *
 * A machine may be suspended for seconds. The steady clock stands still
 * meanwhile, so that a lease seems in force that another instance has taken
 * since. The time of day goes on, and a jump of it against the steady clock
 * shows the suspension. A corrected time of day looks the same; then a lease is
 * dropped without need, which costs one take-over.
 */
export class SuspensionWatch {
  private differenceMs: number;

  constructor(
    nowMs: number,
    epochMs: number,
    private readonly toleranceMs = DEFAULT_TOLERANCE_MS,
  ) {
    this.differenceMs = epochMs - nowMs;
  }

  /**
   * Whether the clocks drifted apart since the last look.
   *
   * @example
   * if (watch.hasJumped(performance.now(), Date.now())) dropLease();
   */
  hasJumped(nowMs: number, epochMs: number): boolean {
    const differenceMs = epochMs - nowMs;
    const jumpMs = Math.abs(differenceMs - this.differenceMs);
    this.differenceMs = differenceMs;
    return jumpMs > this.toleranceMs;
  }
}

/** Well under a lease's margin, well over what clocks drift between looks. */
const DEFAULT_TOLERANCE_MS = 250;
