/** Decides when an instance may act under a lease. */

import type {LeaseTask} from '@snipestage/entry/agree/lease_task.js';
import type {SendGuard} from '@snipestage/platform/platform.js';
import {SuspensionDetector} from '@snipestage/routing/suspension_detector.js';
import type {FencingToken} from '@snipestage/types/ids.js';

/** Options of {@link DutyTerm}. */
export interface DutyTermOptions {
  readonly lease: Pick<LeaseTask, 'held' | 'guard'>;
  /**
   * Minimum time between acts of this process under two tokens, when the later
   * lease follows a release.
   */
  readonly separationMs: number;
  readonly nowMs: () => number;
  readonly nowEpochMs: () => number;
}

/**
 * Guards against two cases that the lease itself does not cover.
 *
 * A holder that was suspended takes its term for current although it has ended,
 * since its monotonic clock stood still. After the clocks have jumped apart,
 * nothing is sent until a renewal that began later has been granted.
 *
 * Where leases are released and acquired again at once, one instance could act,
 * then another and then the first again within moments, which outside parties
 * can't distinguish from two concurrent holders. So a holder whose lease
 * follows a release waits until its own last act under another token is at
 * least `separationMs` ago. A new process doesn't know what its predecessor
 * did, so it waits that long after its start. After a lapse there is no wait:
 * nobody has acted for at least the lease's margin.
 */
export class DutyTerm {
  private readonly watch: SuspensionDetector;
  private jumpedAtMs = Number.NEGATIVE_INFINITY;
  /** Time and token of this process's last act. */
  private lastAct: {readonly token: FencingToken; atMs: number} | undefined;
  /**
   * Time of this process's last act under an earlier token; at first its start.
   */
  private previousActAtMs: number;

  constructor(private readonly options: DutyTermOptions) {
    const {nowMs, nowEpochMs} = options;
    this.watch = new SuspensionDetector(nowMs(), nowEpochMs());
    this.previousActAtMs = nowMs();
  }

  /** Token to act under now; undefined when this instance must not act. */
  get token(): FencingToken | undefined {
    const {lease, nowMs, nowEpochMs, separationMs} = this.options;
    const atMs = nowMs();
    if (this.watch.hasJumped(atMs, nowEpochMs())) this.jumpedAtMs = atMs;
    const {held} = lease;
    if (held === undefined || held.renewedAtMs <= this.jumpedAtMs) {
      return undefined;
    }
    const sinceOwnMs = atMs - this.lastActBefore(held.fencingToken);
    const isSettled = !held.followsRelease || sinceOwnMs >= separationMs;
    return isSettled ? held.fencingToken : undefined;
  }

  /** Creates a guard for one send under the token in force now. */
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
    return wasUnderOther ? lastAct.atMs : this.previousActAtMs;
  }

  private noteAct(token: FencingToken): void {
    const atMs = this.options.nowMs();
    this.previousActAtMs = this.lastActBefore(token);
    this.lastAct = {token, atMs};
  }
}
