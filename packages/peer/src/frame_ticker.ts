/** When the next frames go out. */

/** What a {@link FrameTicker} is made from. */
export interface FrameTickerOptions {
  /** Shortest time between two ticks. */
  readonly tickMs: number;
  readonly readNowMs: () => number;
  readonly onTick: () => void;
}

/**
 * Bounds the frames to one a tick. The timer runs only while something waits,
 * and the streams share it, since waking a sleeping process costs as much as
 * the frame. What comes after a quiet tick goes out at once.
 */
export class FrameTicker {
  private timer?: NodeJS.Timeout;
  private dueMs = Infinity;
  private lastMs = -Infinity;

  constructor(private readonly options: FrameTickerOptions) {}

  /** Patient things wait a whole tick for company. */
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

  /** Frames have gone out. */
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
