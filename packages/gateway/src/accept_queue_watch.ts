/** Estimates how long connections may have waited to be accepted. */

/** More pending connections than a burst at one instance causes. */
export const LISTEN_BACKLOG_COUNT = 1024;
/** The kernel takes one more than the backlog; another is being accepted. */
const BACKLOG_MARGIN_COUNT = 2;
/** More connections in a row than come together by chance. */
const MIN_BACKLOG_COUNT = 4;

/** Options of {@link AcceptQueueWatch}; defaults in the brackets. */
export interface AcceptQueueWatchOptions {
  readonly nowMs: () => number;
  /** Connections that the kernel lets wait at most (1024). */
  readonly maxWaiting?: number;
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
  /** When the latest connections were accepted, as a ring. */
  private readonly acceptedAtMs: Float64Array;
  private nextIndex = 0;

  constructor(private readonly options: AcceptQueueWatchOptions) {
    const {maxWaiting = LISTEN_BACKLOG_COUNT} = options;
    const count = maxWaiting + BACKLOG_MARGIN_COUNT;
    this.acceptedAtMs = new Float64Array(count).fill(-Infinity);
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
    // The queue was not full before it came: one accepted so many before it had
    // left the queue by then.
    const leftAtMs = this.acceptedAtMs[this.nextIndex];
    this.acceptedAtMs[this.nextIndex] = nowMs;
    this.nextIndex = (this.nextIndex + 1) % this.acceptedAtMs.length;
    return nowMs - Math.max(this.queueSinceMs, leftAtMs);
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
