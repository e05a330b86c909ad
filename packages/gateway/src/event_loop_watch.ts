/** Estimates how long something may have waited before it was read. */

/** Options of {@link EventLoopWatch}; defaults in the brackets. */
export interface EventLoopWatchOptions {
  readonly nowMs: () => number;
  /** For how long the loop has waited for events since the start (Node.js). */
  readonly readIdleMs?: () => number;
  /** Runs a callback some milliseconds later (`setTimeout`). */
  readonly later?: (callback: () => void) => void;
}

/** A time in which nothing was read, as far as known. */
interface Standstill {
  /** The last moment at which the loop is known to have run before. */
  readonly fromMs: number;
}

const TICK_MS = 100;
/** A tick that is later than this shows that the loop stood still. */
const LATE_TICK_MS = 50;
/**
 * Node.js accepts one connection in a turn of the loop, so that reading all that
 * waits takes many turns. A loop that waits for events has read everything.
 */
const CAUGHT_UP_IDLE_MS = 0.5;
const CHECK_EVERY_MS = 5;
/** A loop that never waits is overloaded; what it reads is new all the same. */
const MAX_CATCH_UP_MS = 500;

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
  private readonly readIdleMs: () => number;
  private readonly later: (callback: () => void) => void;

  constructor(private readonly options: EventLoopWatchOptions) {
    this.readIdleMs =
      options.readIdleMs ?? (() => performance.nodeTiming.idleTime);
    this.later =
      options.later ??
      (callback => setTimeout(callback, CHECK_EVERY_MS).unref());
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
    const idleAtMs = this.readIdleMs();
    const endsAtMs = this.options.nowMs() + MAX_CATCH_UP_MS;
    const check = () => {
      const hasCaughtUp = this.readIdleMs() - idleAtMs >= CAUGHT_UP_IDLE_MS;
      if (hasCaughtUp || this.options.nowMs() >= endsAtMs) {
        this.standstills.splice(this.standstills.indexOf(standstill), 1);
      } else this.later(check);
    };
    this.later(check);
  }
}

/** A clock, and when what is read now may have come (now). */
export interface ArrivalClock {
  readonly nowMs: () => number;
  readonly earliestArrivalMs?: () => number;
}

/**
 * Whether something that came during a standstill may not be read yet.
 *
 * @example
 * if (isBehind({nowMs, earliestArrivalMs})) return;
 */
export function isBehind(clock: ArrivalClock): boolean {
  const {nowMs, earliestArrivalMs = nowMs} = clock;
  const atMs = nowMs();
  return earliestArrivalMs() < atMs;
}
