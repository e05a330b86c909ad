/** Limits retries of several followers against one unavailable store. */

import {STANDBY_FACTOR} from '@snipestage/routing/change_budget.js';

/**
 * Load pattern: the store is unavailable for seconds, and each of hundreds of
 * instances retries three tables. Only the first follower that failed retries
 * at the normal pace; when it succeeds, the others retry at once. They also
 * retry slowly by themselves, since a single table may fail.
 */
export class StoreRecovery {
  /** Followers whose last call failed, in the order of their first failures. */
  private readonly lost = new Set<object>();
  private readonly waiting = new Set<() => void>();

  /** Whether any follower's last call failed. */
  get isUnavailable(): boolean {
    return this.lost.size > 0;
  }

  /**
   * Records a failed call.
   *
   * @param pauseMs the follower's own backoff.
   * @returns the pause before its next call.
   * @example
   * const pauseMs = recovery.noteFailure(this, backoffMs);
   */
  noteFailure(follower: object, pauseMs: number): number {
    this.lost.add(follower);
    const [first] = this.lost;
    return first === follower ? pauseMs : pauseMs * STANDBY_FACTOR;
  }

  /** Records that a follower no longer depends on the store. */
  noteLeft(follower: object): void {
    this.lost.delete(follower);
  }

  /** Records a successful call and wakes the waiting followers. */
  noteSuccess(follower: object): void {
    if (!this.lost.delete(follower)) return;
    for (const wake of [...this.waiting]) wake();
  }

  /** Resolves after the pause, or as soon as another follower succeeds. */
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
