/** Timer for a request that waits for its answer to begin. */

/** Options of {@link OverdueWatch}. */
export interface OverdueWatchOptions {
  readonly limitMs: number;
  /**
   * Whether this process may not have read yet what has arrived, as it stood
   * still.
   */
  readonly isBehind: () => boolean;
  readonly onOverdue: () => void;
}

/** Calls back once if the answer hasn't begun within the limit. */
export class OverdueWatch {
  private timer: NodeJS.Timeout | undefined;
  private check: NodeJS.Immediate | undefined;

  constructor(private readonly options: OverdueWatchOptions) {}

  start(): void {
    const {limitMs, isBehind, onOverdue} = this.options;
    this.timer = setTimeout(() => {
      // Timers run before sockets are read in a turn of the event loop.
      this.check = setImmediate(() => {
        if (!isBehind()) onOverdue();
      });
    }, limitMs);
  }

  stop(): void {
    clearTimeout(this.timer);
    clearImmediate(this.check);
  }
}
