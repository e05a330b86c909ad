/** Attempts of one instance that hold a permit of a cell. */

import type {AttemptId, EndpointId} from '@snipestage/types/ids.js';
import type {
  CellPermitRequest,
  PermitInUse,
} from '@snipestage/types/permits.js';
import type {AttemptProgress} from './cell_messages.js';

/** Start of an attempt at an endpoint, by a grant or under the allotment. */
export interface AttemptStart {
  readonly ask: CellPermitRequest;
  readonly endpoint: EndpointId;
  readonly underAllotment: boolean;
  readonly nowMs: number;
}

interface RunningAttempt {
  permit: PermitInUse;
  readonly startedAtMs: number;
  /** When the last progress was recorded. */
  progressAtMs: number;
}

/** Keeps what is reported to the owner, and again to a new one. */
export class RunningAttempts {
  private readonly attempts = new Map<AttemptId, RunningAttempt>();
  private readonly progressed = new Set<AttemptId>();

  get size(): number {
    return this.attempts.size;
  }

  get(attempt: AttemptId): PermitInUse | undefined {
    return this.attempts.get(attempt)?.permit;
  }

  all(): PermitInUse[] {
    return [...this.attempts.values()].map(({permit}) => permit);
  }

  start({ask, endpoint, underAllotment, nowMs}: AttemptStart): PermitInUse {
    const permit: PermitInUse = {
      attempt: ask.attempt,
      cell: ask.cell,
      endpoint,
      clientAccount: ask.clientAccount,
      requestClass: ask.requestClass,
      tier: ask.tier,
      outputTokens: 0,
      underAllotment,
      suspect: ask.suspect,
    };
    const times = {startedAtMs: nowMs, progressAtMs: nowMs};
    this.attempts.set(ask.attempt, {permit, ...times});
    return permit;
  }

  end(attempt: AttemptId): PermitInUse | undefined {
    const permit = this.get(attempt);
    this.attempts.delete(attempt);
    this.progressed.delete(attempt);
    return permit;
  }

  /** Records tokens that running attempts have produced. */
  progress(all: readonly AttemptProgress[], nowMs: number): void {
    for (const {attempt, outputTokens} of all) {
      const running = this.attempts.get(attempt);
      if (running === undefined) continue;
      running.permit = {...running.permit, outputTokens};
      running.progressAtMs = nowMs;
      this.progressed.add(attempt);
    }
  }

  /** Returns the attempts that have produced tokens since the last call. */
  takeProgress(): AttemptProgress[] {
    const progress: AttemptProgress[] = [];
    for (const attempt of this.progressed) {
      const running = this.attempts.get(attempt);
      if (running === undefined) continue;
      const {outputTokens} = running.permit;
      const elapsedMs = running.progressAtMs - running.startedAtMs;
      progress.push({attempt, outputTokens, elapsedMs});
    }
    this.progressed.clear();
    return progress;
  }

  /** Marks all attempts as no longer under an allotment, as theirs is void. */
  detachFromAllotment(): void {
    for (const running of this.attempts.values()) {
      running.permit = {...running.permit, underAllotment: false};
    }
  }
}
