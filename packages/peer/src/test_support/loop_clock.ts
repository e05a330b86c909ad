/** A clock for networks that share one process. */

const TICK_MS = 5;
/** A tenth of a heartbeat of the tests. */
const MAX_STEP_MS = 10;

/**
 * A monotonic clock that advances with real time, but at most by a short step
 * per timer tick. While the process is stalled the clock stands still, so that
 * no network of the process looks silent to another.
 *
 * @example
 * const clock = new LoopClock();
 * const nowMs = clock.readMs();
 */
export class LoopClock {
  private elapsedMs = 0;
  private tickedAtMs = performance.now();

  constructor() {
    setInterval(() => this.tick(), TICK_MS).unref();
  }

  readMs(): number {
    return this.elapsedMs;
  }

  private tick(): void {
    const nowMs = performance.now();
    this.elapsedMs += Math.min(MAX_STEP_MS, nowMs - this.tickedAtMs);
    this.tickedAtMs = nowMs;
  }
}

/** The clock of all networks of this process. */
export const LOOP_CLOCK = new LoopClock();
