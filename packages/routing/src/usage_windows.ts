/** Counts requests that began to run by window and client account. */

import type {Branded, ClientAccountId} from '@snipestage/types/ids.js';

/** Number of a window: its start since 1970 divided by its length. */
export type WindowNumber = Branded<number, 'WindowNumber'>;

/** Requests of each client account. */
export type UsageCounts = ReadonlyMap<ClientAccountId, number>;

/** Keeps the counts of each window until it is forgotten. */
export class UsageWindows {
  private readonly windows = new Map<
    WindowNumber,
    Map<ClientAccountId, number>
  >();

  constructor(private readonly windowMs: number) {}

  /**
   * A request of an account began to run.
   *
   * @example
   * windows.count(account.id, agreedClock.epochAt(nowMs));
   */
  count(account: ClientAccountId, epochMs: number): void {
    const window = windowAt(epochMs, this.windowMs);
    const counts = this.windows.get(window) ?? new Map();
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.windows.set(window, counts);
  }

  /** Opens a window, so that it is listed even without requests. */
  open(window: WindowNumber): void {
    if (!this.windows.has(window)) this.windows.set(window, new Map());
  }

  /** Counts of a window so far. */
  read(window: WindowNumber): UsageCounts {
    return this.windows.get(window) ?? new Map();
  }

  /** Windows that were opened or have counts, in order. */
  list(): readonly WindowNumber[] {
    return [...this.windows.keys()].sort((left, right) => left - right);
  }

  forget(window: WindowNumber): void {
    this.windows.delete(window);
  }
}

/**
 * The window that holds an instant.
 *
 * @example
 * windowAt(12_300, 5000); // 2
 */
export function windowAt(epochMs: number, windowMs: number): WindowNumber {
  return Math.floor(epochMs / windowMs) as WindowNumber;
}

/**
 * Adds up the counts that several instances wrote.
 *
 * @example
 * const total = sumCounts([mine, theirs]);
 */
export function sumCounts(all: Iterable<UsageCounts>): UsageCounts {
  const total = new Map<ClientAccountId, number>();
  for (const counts of all) {
    for (const [account, count] of counts) {
      total.set(account, (total.get(account) ?? 0) + count);
    }
  }
  return total;
}
