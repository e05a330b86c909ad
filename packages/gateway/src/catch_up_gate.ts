/** Holds requests while the event loop catches up with what has come. */

/** Options of {@link CatchUpGate}; defaults in the brackets. */
export interface CatchUpGateOptions {
  /** Whether something that came during a standstill may not be read yet. */
  readonly isBehind: () => boolean;
  /** Longest time for which a request is held (50 ms). */
  readonly maxHeldMs?: number;
  /** Whether connections wait to be accepted (never). */
  readonly hasBacklog?: () => boolean;
  /** Longest time for which a request is held while some wait (200 ms). */
  readonly maxBacklogHeldMs?: number;
  /** Runs a callback after a time in ms (`setTimeout`). */
  readonly later?: (callback: () => void, delayMs: number) => void;
}

interface HeldRequest {
  readonly urgencyRank: number;
  readonly resume: () => void;
}

const DEFAULT_MAX_HELD_MS = 50;
const DEFAULT_MAX_BACKLOG_HELD_MS = 200;
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
  private readonly later: (callback: () => void, delayMs: number) => void;

  constructor(private readonly options: CatchUpGateOptions) {
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
    if (!this.isBehind) return;
    await new Promise<void>(resume => {
      this.held.push({urgencyRank, resume});
      if (!this.hasCheck) this.scheduleCheck();
    });
  }

  /** Releases what is held if the loop has caught up before the next check. */
  recheck(): void {
    if (this.held.length > 0 && !this.isBehind) this.releaseAll();
  }

  private get isBehind(): boolean {
    return this.hasBacklog || this.options.isBehind();
  }

  private get hasBacklog(): boolean {
    return this.options.hasBacklog?.() === true;
  }

  private get limitMs(): number {
    const {maxHeldMs = DEFAULT_MAX_HELD_MS} = this.options;
    const {maxBacklogHeldMs = DEFAULT_MAX_BACKLOG_HELD_MS} = this.options;
    return this.hasBacklog ? maxBacklogHeldMs : maxHeldMs;
  }

  private scheduleCheck(): void {
    this.hasCheck = true;
    this.later(() => {
      this.hasCheck = false;
      if (this.held.length === 0) return;
      this.heldForMs += CHECK_EVERY_MS;
      const isOver = this.heldForMs >= this.limitMs;
      if (isOver || !this.isBehind) this.releaseAll();
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
