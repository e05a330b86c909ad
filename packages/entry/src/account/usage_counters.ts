/** Counts what was served, by client account and request class. */

import type {ClientAccountId, RequestClassId} from '@snipestage/types/ids.js';
import type {
  UsageFigures,
  UsageLine,
} from '@snipestage/types/platform_messages.js';

/** Who is to be billed for what. */
export interface ServedRequest extends UsageFigures {
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
}

/** Cumulative since the start of this process; only rises. */
export class UsageCounters {
  private readonly lines = new Map<string, UsageLine>();

  add(served: ServedRequest): void {
    const key = `${served.clientAccount}/${served.requestClass}`;
    const line = this.lines.get(key);
    this.lines.set(key, {
      clientAccount: served.clientAccount,
      requestClass: served.requestClass,
      requests: (line?.requests ?? 0) + served.requests,
      promptTokens: (line?.promptTokens ?? 0) + served.promptTokens,
      outputTokens: (line?.outputTokens ?? 0) + served.outputTokens,
    });
  }

  /** All lines, by account and class. */
  read(): UsageLine[] {
    return [...this.lines.values()];
  }
}
