/** Who asks a store that is away, and who waits for its return. */

/** Others ask so many times as seldom as the first that lost the store. */
const STANDBY_FACTOR = 3;

/**
 * Load pattern: the store is away for seconds, and each of hundreds of instances
 * asks it for three tables, again and again. The follower that lost it first asks
 * for all; when it has it back, the others ask at once. They still ask now and
 * then by themselves: a store may fail for one table alone.
 */
export class StoreRecovery {
  /** In the order in which they lost it. */
  private readonly lost = new Set<object>();
  private readonly waiting = new Set<() => void>();

  /** Whether anybody has lost the store and not regained it. */
  get isAway(): boolean {
    return this.lost.size > 0;
  }

  /**
   * A follower got no answer.
   *
   * @param pauseMs after which it would ask again if it were alone.
   * @returns after which it should.
   * @example
   * const pauseMs = recovery.lose(this, backoffMs);
   */
  lose(follower: object, pauseMs: number): number {
    this.lost.add(follower);
    const [first] = this.lost;
    return first === follower ? pauseMs : pauseMs * STANDBY_FACTOR;
  }

  /** A follower got an answer again: those that wait ask now. */
  regain(follower: object): void {
    if (!this.lost.delete(follower)) return;
    for (const wake of [...this.waiting]) wake();
  }

  /** Resolves after the pause, or when another follower has regained the store. */
  wait(pauseMs: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, pauseMs);
      this.waiting.add(finish);
    });
  }
}
