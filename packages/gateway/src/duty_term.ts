/** When something may be done in the name of a lease. */

import type {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import type {SendGuard} from '@snipestage/platform/platform.js';
import {SuspensionWatch} from '@snipestage/routing/suspension_watch.js';
import type {FencingToken} from '@snipestage/types/ids.js';

/** What a {@link DutyTerm} is made from. */
export interface DutyTermOptions {
  readonly lease: Pick<LeaseTask, 'held' | 'guard'>;
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
 * that began later has been granted. And where leases are released and taken
 * again at once, one instance could act, another one and the first again within
 * moments, which an outsider can't tell from two that are both in charge. So
 * whoever follows on a release waits until its own last act under another token
 * is long enough ago; a process that is new does not know what the one before it
 * did. After a lapse nobody has acted for a margin at least.
 */
export class DutyTerm {
  private readonly watch: SuspensionWatch;
  private jumpedAtMs = Number.NEGATIVE_INFINITY;
  /** Of this process, and the token under which it was. */
  private lastAct: {readonly token: FencingToken; atMs: number} | undefined;
  /** Of this process, under a token before that of its last act. */
  private formerActAtMs: number;

  constructor(private readonly options: DutyTermOptions) {
    const {nowMs, nowEpochMs} = options;
    this.watch = new SuspensionWatch(nowMs(), nowEpochMs());
    this.formerActAtMs = nowMs();
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
    const sinceOwnMs = atMs - this.lastActBefore(held.fencingToken);
    const isSettled = !held.followsRelease || sinceOwnMs >= apartMs;
    return isSettled ? held.fencingToken : undefined;
  }

  /** For one send under the token that is in force now. */
  guard(): SendGuard {
    const guard = this.options.lease.guard();
    const {token} = this;
    return {
      mayStillSend: () => {
        const mayAct =
          token !== undefined && this.token === token && guard.mayStillSend();
        if (mayAct) this.noteAct(token);
        return mayAct;
      },
      signal: guard.signal,
    };
  }

  private lastActBefore(token: FencingToken): number {
    const {lastAct} = this;
    const wasUnderOther = lastAct !== undefined && lastAct.token !== token;
    return wasUnderOther ? lastAct.atMs : this.formerActAtMs;
  }

  private noteAct(token: FencingToken): void {
    const atMs = this.options.nowMs();
    this.formerActAtMs = this.lastActBefore(token);
    this.lastAct = {token, atMs};
  }
}
