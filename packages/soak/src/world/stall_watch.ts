/** Detects when the machine that runs a soak stalls. */

import type {History} from '../history.js';

const TICK_MS = 50;
/** Ticks are a few milliseconds late on any machine. */
const MIN_DELAY_MS = 10;
/** Ticks further apart than this show that processes got no processor time. */
const STALL_THRESHOLD_MS = 300;

/**
 * Records stalls as disturbances of the machine. Without processor time no
 * process can keep a time bound, so none applies during a stall.
 */
export class StallWatch {
  private timer: NodeJS.Timeout | undefined;
  private lastMs: number;

  constructor(
    private readonly history: History,
    private readonly nowMs: () => number,
  ) {
    this.lastMs = nowMs();
  }

  start(): void {
    this.lastMs = this.nowMs();
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const nowMs = this.nowMs();
    const lateMs = nowMs - this.lastMs - TICK_MS;
    if (lateMs >= MIN_DELAY_MS) {
      this.history.ownDelays.push({atMs: nowMs, lateMs});
    }
    if (nowMs - this.lastMs > STALL_THRESHOLD_MS) {
      const stall = this.history.recordDisturbance(
        'machine',
        'stalled',
        this.lastMs,
      );
      stall.toMs = nowMs;
    }
    this.lastMs = nowMs;
  }
}
