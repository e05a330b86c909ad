/**
 * Detects that the process was suspended.
 *
 * A machine may be suspended for seconds. The monotonic clock stops meanwhile,
 * so that a lease still seems valid which another instance has taken since. The
 * time of day goes on, and its jump relative to the monotonic clock shows the
 * suspension. A correction of the time of day looks the same; then a lease is
 * dropped needlessly, which costs one take-over.
 */
export class SuspensionDetector {
  private differenceMs: number;

  constructor(
    nowMs: number,
    epochMs: number,
    private readonly toleranceMs = DEFAULT_TOLERANCE_MS,
  ) {
    this.differenceMs = epochMs - nowMs;
  }

  /**
   * Whether the difference of the clocks has jumped since the last check.
   *
   * @example
   * if (detector.hasJumped(performance.now(), Date.now())) dropLease();
   */
  hasJumped(nowMs: number, epochMs: number): boolean {
    const differenceMs = epochMs - nowMs;
    const jumpMs = Math.abs(differenceMs - this.differenceMs);
    this.differenceMs = differenceMs;
    return jumpMs > this.toleranceMs;
  }
}

/**
 * Well under a lease's margin, well over the drift of clocks between checks.
 */
const DEFAULT_TOLERANCE_MS = 250;
