/** Notices when the machine that runs a soak stands still. */

import type {History} from '../history.js';

const TICK_MS = 50;
/** A tick that is so late shows that nobody got the processor. */
const STALLED_MS = 300;

/**
 * On a machine that is starved of its processor, nothing can be done in time,
 * by nobody's fault: bounds count as for a machine that was slowed down.
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
    if (nowMs - this.lastMs > STALLED_MS) {
      const stall = this.history.disturb('machine', 'stalled', this.lastMs);
      stall.toMs = nowMs;
    }
    this.lastMs = nowMs;
  }
}
