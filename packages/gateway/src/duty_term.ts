/** When something may be done in the name of a lease. */

import type {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import type {SendGuard} from '@snipestage/platform/platform.js';
import {SuspensionWatch} from '@snipestage/routing/suspension_watch.js';
import type {FencingToken} from '@snipestage/types/ids.js';

/** What a {@link DutyTerm} is made from. */
export interface DutyTermOptions {
  readonly lease: Pick<LeaseTask, 'held' | 'guard' | 'listen'>;
  /** Holders that act by turns have to be so far apart. */
  readonly apartMs: number;
  readonly nowMs: () => number;
  readonly nowEpochMs: () => number;
}

/**
 * Guards what a lease alone does not.
 *
 * A holder that was suspended believes in a term that is over, since its steady
 * clock stood still; after a jump of the clocks nothing is sent until a renewal
 * that began later has been granted. And a lease that is released and taken
 * again at once would let two instances act by turns within moments, which an
 * outsider can't tell from two that are both in charge; whoever follows on a
 * release waits first. After a lapse nobody has acted for a margin at least.
 */
export class DutyTerm {
  private readonly watch: SuspensionWatch;
  private jumpedAtMs = Number.NEGATIVE_INFINITY;
  private acquiredAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: DutyTermOptions) {
    const {lease, nowMs, nowEpochMs} = options;
    this.watch = new SuspensionWatch(nowMs(), nowEpochMs());
    lease.listen({
      acquired: () => {
        this.acquiredAtMs = nowMs();
      },
      lost: () => undefined,
    });
  }

  /** The token to act under now, if one may. */
  get token(): FencingToken | undefined {
    const {lease, nowMs, nowEpochMs, apartMs} = this.options;
    const atMs = nowMs();
    if (this.watch.hasJumped(atMs, nowEpochMs())) this.jumpedAtMs = atMs;
    const {held} = lease;
    if (held === undefined || held.renewedAtMs <= this.jumpedAtMs) {
      return undefined;
    }
    const isSettled =
      !held.followsRelease || atMs - this.acquiredAtMs >= apartMs;
    return isSettled ? held.fencingToken : undefined;
  }

  /** For one send under the token that is in force now. */
  guard(): SendGuard {
    const guard = this.options.lease.guard();
    const {token} = this;
    return {
      mayStillSend: () =>
        token !== undefined && this.token === token && guard.mayStillSend(),
      signal: guard.signal,
    };
  }
}
