/** Estimates how long connections may have waited to be accepted. */

/** More connections in a row than come together by chance. */
const MIN_BACKLOG_COUNT = 4;

/** Options of {@link AcceptQueueWatch}; defaults in the brackets. */
export interface AcceptQueueWatchOptions {
  readonly nowMs: () => number;
  /** Called when no more connections wait (nothing). */
  readonly onEmpty?: () => void;
  /** Runs a callback once sockets have been polled (`setImmediate`). */
  readonly afterPoll?: (callback: () => void) => void;
}

/**
 * Node.js (20) accepts one connection in a turn of the event loop, and the kernel
 * doesn't say since when one has waited. A turn that accepts none shows that none
 * waits: what is accepted later came after it.
 */
export class AcceptQueueWatch {
  /** The first of the turns without a break that have accepted one. */
  private queueSinceMs: number | undefined;
  private hasAccepted = false;
  private acceptedInRow = 0;
  private readonly afterPoll: (callback: () => void) => void;

  constructor(private readonly options: AcceptQueueWatchOptions) {
    this.afterPoll = options.afterPoll ?? setImmediate;
  }

  /**
   * Called for each connection that is accepted.
   *
   * @returns the longest time for which it may have waited, in ms, apart from
   *   the turn in which it was accepted.
   * @example
   * server.on('connection', () => watch.noteAccepted());
   */
  noteAccepted(): number {
    const nowMs = this.options.nowMs();
    this.hasAccepted = true;
    this.acceptedInRow += 1;
    if (this.queueSinceMs === undefined) {
      this.queueSinceMs = nowMs;
      this.check();
    }
    return nowMs - this.queueSinceMs;
  }

  /** Whether connections wait to be accepted, as far as known. */
  get hasWaiting(): boolean {
    return this.queueSinceMs !== undefined;
  }

  /** Whether several have waited at the same time and others may still. */
  get isBehind(): boolean {
    return this.acceptedInRow >= MIN_BACKLOG_COUNT;
  }

  private check(): void {
    this.afterPoll(() => {
      if (this.hasAccepted) {
        this.hasAccepted = false;
        this.check();
        return;
      }
      this.queueSinceMs = undefined;
      this.acceptedInRow = 0;
      this.options.onEmpty?.();
    });
  }
}
