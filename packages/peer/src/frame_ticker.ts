/** Schedules when the next frames are sent. */

/** Options of {@link FrameTicker}. */
export interface FrameTickerOptions {
  /** Shortest time between two ticks. */
  readonly tickMs: number;
  readonly readNowMs: () => number;
  readonly onTick: () => void;
}

/**
 * Limits the frames to one per tick. The timer runs only while something is
 * queued, and the streams share it, since waking a sleeping process costs as
 * much as the frame. Urgent records after a tick without frames are sent at
 * once.
 */
export class FrameTicker {
  private timer?: NodeJS.Timeout;
  private dueMs = Infinity;
  private lastMs = -Infinity;

  constructor(private readonly options: FrameTickerOptions) {}

  /** What is not urgent waits a whole tick, so that more shares its frame. */
  schedule(isUrgent: boolean): void {
    const {tickMs, readNowMs, onTick} = this.options;
    const nowMs = readNowMs();
    const earliestMs = isUrgent ? this.lastMs + tickMs : nowMs + tickMs;
    const dueMs = Math.max(earliestMs, nowMs);
    if (dueMs >= this.dueMs) return;
    clearTimeout(this.timer);
    this.dueMs = dueMs;
    this.timer = setTimeout(onTick, dueMs - nowMs);
  }

  /** Records that frames have been sent. */
  noteTick(nowMs: number): void {
    clearTimeout(this.timer);
    this.dueMs = Infinity;
    this.lastMs = nowMs;
  }

  stop(): void {
    clearTimeout(this.timer);
    this.dueMs = -Infinity;
  }
}
