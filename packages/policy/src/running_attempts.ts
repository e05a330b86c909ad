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
    return permit;
  }

  /** Takes in tokens produced; gives the reports on attempts that still run. */
  progress(all: readonly AttemptProgress[]): AttemptProgress[] {
    return all.filter(({attempt, outputTokens}) => {
      const permit = this.permits.get(attempt);
      if (permit === undefined) return false;
      this.permits.set(attempt, {...permit, outputTokens});
      return true;
    });
  }

  /** The allotment they began under is void: each counts by itself. */
  leaveAllotment(): void {
    for (const [attempt, permit] of this.permits) {
      if (!permit.underAllotment) continue;
      this.permits.set(attempt, {...permit, underAllotment: false});
    }
  }
}
