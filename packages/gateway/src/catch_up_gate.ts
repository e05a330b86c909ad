/** Holds requests while the event loop catches up with what has come. */

/** Options of {@link CatchUpGate}; defaults in the brackets. */
export interface CatchUpGateOptions {
  /** Whether something that came during a standstill may not be read yet. */
  readonly isBehind: () => boolean;
  /** Longest time for which a request is held (50 ms). */
  readonly maxHeldMs?: number;
  /** Runs a callback after a time in ms (`setTimeout`). */
  readonly later?: (callback: () => void, delayMs: number) => void;
}

interface HeldRequest {
  readonly urgencyRank: number;
  readonly resume: () => void;
}

const DEFAULT_MAX_HELD_MS = 50;
const CHECK_EVERY_MS = 5;

/**
 * After a standstill, or while connections wait to be accepted, everything that came meanwhile is read in the order of its
 * connections. Held until all of it is read, the most urgent requests go first,
 * and those whose callers have left meanwhile are known.
 */
export class CatchUpGate {
  private held: HeldRequest[] = [];
  private heldForMs = 0;
  private hasCheck = false;
  private readonly maxHeldMs: number;
  private readonly later: (callback: () => void, delayMs: number) => void;

  constructor(private readonly options: CatchUpGateOptions) {
    this.maxHeldMs = options.maxHeldMs ?? DEFAULT_MAX_HELD_MS;
    this.later = options.later ?? setTimeout;
  }

  /**
   * Resolves at once unless the loop is behind.
   *
   * @param urgencyRank 0 goes first.
   * @example
   * await gate.pass(admission.urgencyRank);
   */
  async pass(urgencyRank: number): Promise<void> {
    if (!this.options.isBehind()) return;
    await new Promise<void>(resume => {
      this.held.push({urgencyRank, resume});
      if (!this.hasCheck) this.scheduleCheck();
    });
  }

  /** Releases what is held if the loop has caught up before the next check. */
  recheck(): void {
    if (this.held.length > 0 && !this.options.isBehind()) this.releaseAll();
  }

  private scheduleCheck(): void {
    this.hasCheck = true;
    this.later(() => {
      this.hasCheck = false;
      if (this.held.length === 0) return;
      this.heldForMs += CHECK_EVERY_MS;
      const isOver = this.heldForMs >= this.maxHeldMs;
      if (isOver || !this.options.isBehind()) this.releaseAll();
      else this.scheduleCheck();
    }, CHECK_EVERY_MS);
  }

  private releaseAll(): void {
    const {held} = this;
    this.held = [];
    this.heldForMs = 0;
    // The sort is stable: requests of one rank stay in the order of reading.
    held.sort((one, other) => one.urgencyRank - other.urgencyRank);
    for (const {resume} of held) resume();
  }
}
