/**
 * Decides from which peer to pull a configuration, and whether to apply one.
 * Does no I/O. Revisions only rise: one that arrives late or twice is ignored.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';

const DEFAULT_PULL_TIMEOUT_MS = 1000;

/**
 * Pull time-outs for which a peer is skipped after its configuration could not
 * be applied: a configuration is large, and pulling it again at once is
 * wasteful.
 */
const REJECTION_TIMEOUT_COUNT = 10;

/** A pull to send, and to which peer. */
export interface PullStep {
  readonly from: InstanceId;
  readonly aboveRevision: Revision;
}

export class PullPlan {
  private revision: Revision;
  private pull?: {readonly from: InstanceId; readonly sentMs: number};
  /** Peers that have a higher revision in force. */
  private readonly ahead = new Map<InstanceId, Revision>();

  private readonly rejectedUntilMs = new Map<InstanceId, number>();

  constructor(
    inForce: Revision,
    private readonly pullTimeoutMs = DEFAULT_PULL_TIMEOUT_MS,
  ) {
    this.revision = inForce;
  }

  get inForce(): Revision {
    return this.revision;
  }

  /**
   * Whether a peer has a higher revision; then {@link next} may give a pull.
   */
  get isBehind(): boolean {
    return this.ahead.size > 0;
  }

  /** Records that a peer has the revision in force. */
  noteSeen(revision: Revision, from: InstanceId, nowMs: number): void {
    if (revision <= this.revision) return;
    if (nowMs < (this.rejectedUntilMs.get(from) ?? -Infinity)) return;
    this.ahead.set(from, revision);
  }

  /** Whether a configuration of this revision should be applied. */
  isWanted(revision: Revision): boolean {
    return revision > this.revision;
  }

  noteApplied(revision: Revision): void {
    if (revision <= this.revision) return;
    this.revision = revision;
    this.pull = undefined;
    this.rejectedUntilMs.clear();
    for (const [peer, theirs] of this.ahead) {
      if (theirs <= revision) this.ahead.delete(peer);
    }
  }

  /** Records that the configuration of this peer could not be applied. */
  noteRejected(from: InstanceId, nowMs: number): void {
    const waitMs = this.pullTimeoutMs * REJECTION_TIMEOUT_COUNT;
    this.rejectedUntilMs.set(from, nowMs + waitMs);
    this.noteFailed(from);
  }

  /** Records that this peer has not answered or can not be reached. */
  noteFailed(from: InstanceId): void {
    this.ahead.delete(from);
    if (this.pull?.from === from) this.pull = undefined;
  }

  /**
   * The pull to send now: one at a time, from the peer that is furthest ahead.
   * A peer that has not answered in time is skipped until {@link noteSeen}
   * names it again.
   *
   * @example
   * const step = plan.next(nowMs);
   * if (step) network.send(step.from, {kind: 'configuration_pull', ...});
   */
  next(nowMs: number): PullStep | undefined {
    if (this.pull !== undefined) {
      if (nowMs - this.pull.sentMs < this.pullTimeoutMs) return undefined;
      this.noteFailed(this.pull.from);
    }
    let best: InstanceId | undefined;
    for (const [peer, theirs] of this.ahead) {
      if (best === undefined || theirs > this.ahead.get(best)!) best = peer;
    }
    if (best === undefined) return undefined;
    this.pull = {from: best, sentMs: nowMs};
    return {from: best, aboveRevision: this.revision};
  }
}
