/** Tells how long something may have waited before this process read it. */

/** Options of {@link EventLoopWatch}; defaults in the brackets. */
export interface EventLoopWatchOptions {
  readonly nowMs: () => number;
  /** Runs a callback once the current turn has read its events (`setImmediate`). */
  readonly afterTurn?: (callback: () => void) => void;
}

/** A time in which nothing was read, as far as known. */
interface Standstill {
  /** The last moment at which the loop is known to have run before. */
  readonly fromMs: number;
}

const TICK_MS = 100;
/** A tick that is later than this shows that the loop stood still. */
const LATE_TICK_MS = 50;
/** What waits is read in one turn, and on new connections in the next. */
const TURNS_TO_CATCH_UP = 2;

/**
 * A process that is frozen, or gets no processor time, reads requests and
 * signals long after they came. The kernel doesn't say since when they have
 * waited: anything that is read just after a standstill may have come at its
 * beginning.
 */
export class EventLoopWatch {
  private timer: NodeJS.Timeout | undefined;
  private lastTickMs: number;
  /** Those after which not everything has been read yet, the earliest first. */
  private readonly standstills: Standstill[] = [];
  private readonly afterTurn: (callback: () => void) => void;

  constructor(private readonly options: EventLoopWatchOptions) {
    this.afterTurn = options.afterTurn ?? setImmediate;
    this.lastTickMs = options.nowMs();
  }

  start(): void {
    this.lastTickMs = this.options.nowMs();
    this.timer = setInterval(() => this.tick(), TICK_MS);
    this.timer.unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * The earliest time at which something may have come that is read now; the
   * current time unless the loop has just stood still.
   *
   * @example
   * const endsAtMs = watch.earliestArrivalMs() + timeLimitMs;
   */
  earliestArrivalMs(): number {
    const nowMs = this.options.nowMs();
    const [first] = this.standstills;
    if (first !== undefined) return first.fromMs;
    // After a standstill, sockets may be read before the timer fires.
    return this.isLate(nowMs) ? this.lastTickMs : nowMs;
  }

  /** Called regularly; public for tests without timers. */
  tick(): void {
    const nowMs = this.options.nowMs();
    if (this.isLate(nowMs)) this.noteStandstill(this.lastTickMs);
    this.lastTickMs = nowMs;
  }

  private isLate(nowMs: number): boolean {
    return nowMs - this.lastTickMs > TICK_MS + LATE_TICK_MS;
  }

  private noteStandstill(fromMs: number): void {
    const standstill = {fromMs};
    this.standstills.push(standstill);
    this.afterTurns(TURNS_TO_CATCH_UP, () => {
      this.standstills.splice(this.standstills.indexOf(standstill), 1);
    });
  }

  private afterTurns(turns: number, callback: () => void): void {
    this.afterTurn(() => {
      if (turns === 1) callback();
      else this.afterTurns(turns - 1, callback);
    });
  }
}
