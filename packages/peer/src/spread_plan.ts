/**
 * Decides from whom to pull a configuration, and which one to apply. Does no
 * I/O. Revisions only rise: whatever arrives late or twice is passed over.
 */

import type {InstanceId, Revision} from '@snipestage/types/ids.js';

const DEFAULT_PULL_TIMEOUT_MS = 1000;

/** A configuration is large: one that is no use is not fetched again soon. */
const TIMEOUTS_PER_REJECTION = 10;

/** A pull to send. */
export interface PullStep {
  readonly from: InstanceId;
  readonly aboveRevision: Revision;
}

export class SpreadPlan {
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

  /** Whether a peer is known to have more; then {@link next} is to be asked. */
  get isBehind(): boolean {
    return this.ahead.size > 0;
  }

  /** A peer was seen with the revision in force. */
  noteSeen(revision: Revision, from: InstanceId, nowMs: number): void {
    if (revision <= this.revision) return;
    if (nowMs < (this.rejectedUntilMs.get(from) ?? -Infinity)) return;
    this.ahead.set(from, revision);
  }

  /** Whether what arrived is to be applied. */
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

  /** What this peer sent could not be applied. */
  noteRejected(from: InstanceId, nowMs: number): void {
    const waitMs = this.pullTimeoutMs * TIMEOUTS_PER_REJECTION;
    this.rejectedUntilMs.set(from, nowMs + waitMs);
    this.noteFailed(from);
  }

  /** This peer has not answered, or is gone. */
  noteFailed(from: InstanceId): void {
    this.ahead.delete(from);
    if (this.pull?.from === from) this.pull = undefined;
  }

  /**
   * The pull to send now: one at a time, from the peer that is furthest ahead.
   * A peer that has not answered in time is passed over until it is seen again.
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
