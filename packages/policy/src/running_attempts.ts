/** Attempts of one instance that hold a permit of a cell. */

import type {AttemptId, EndpointId} from '@snipestage/types/ids.js';
import type {PermitAsk, PermitInUse} from '@snipestage/types/permits.js';
import type {AttemptProgress} from './cell_messages.js';

/** Where an attempt runs, and whether it was asked for. */
export interface AttemptStart {
  readonly ask: PermitAsk;
  readonly endpoint: EndpointId;
  readonly underAllotment: boolean;
}

/** Keeps what an owner, and a new one after it, has to be told. */
export class RunningAttempts {
  private readonly permits = new Map<AttemptId, PermitInUse>();
  private readonly progressed = new Set<AttemptId>();

  get size(): number {
    return this.permits.size;
  }

  get(attempt: AttemptId): PermitInUse | undefined {
    return this.permits.get(attempt);
  }

  all(): PermitInUse[] {
    return [...this.permits.values()];
  }

  start({ask, endpoint, underAllotment}: AttemptStart): PermitInUse {
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
    this.permits.set(ask.attempt, permit);
    return permit;
  }

  end(attempt: AttemptId): PermitInUse | undefined {
    const permit = this.permits.get(attempt);
    this.permits.delete(attempt);
    this.progressed.delete(attempt);
    return permit;
  }

  /** Takes in tokens produced by attempts that still run. */
  progress(all: readonly AttemptProgress[]): void {
    for (const {attempt, outputTokens} of all) {
      const permit = this.permits.get(attempt);
      if (permit === undefined) continue;
      this.permits.set(attempt, {...permit, outputTokens});
      this.progressed.add(attempt);
    }
  }

  /** Attempts that have produced tokens since this was last asked. */
  takeProgress(): AttemptProgress[] {
    const progress: AttemptProgress[] = [];
    for (const attempt of this.progressed) {
      const permit = this.permits.get(attempt);
      if (permit === undefined) continue;
      progress.push({attempt, outputTokens: permit.outputTokens});
    }
    this.progressed.clear();
    return progress;
  }

  /** The allotment they began under is void: each counts by itself. */
  leaveAllotment(): void {
    for (const [attempt, permit] of this.permits) {
      if (!permit.underAllotment) continue;
      this.permits.set(attempt, {...permit, underAllotment: false});
    }
  }
}
