/**
 * Virtual token counters (Sheng et al., "Fairness in Serving Large Language
 * Models", OSDI 2024): each client account has a count of the tokens produced
 * for it, and the lowest count is served next.
 */

import type {ClientAccountId} from '@snipestage/types/ids.js';

/** Most idle counters that are kept; beyond, the lowest is forgotten. */
const MAX_IDLE_COUNTER_COUNT = 512;

/** The counters of the client accounts of one request class. */
export class VirtualCounters {
  private readonly counters = new Map<ClientAccountId, number>();
  private readonly active = new Set<ClientAccountId>();
  private lastWaited: ClientAccountId | undefined;

  get(account: ClientAccountId): number {
    return this.counters.get(account) ?? 0;
  }

  /**
   * Marks an account as waiting. An account that was idle keeps no credit from
   * that time: its counter is raised to the lowest of the waiting accounts, or,
   * if none waits, to that of the last one that waited.
   */
  activate(account: ClientAccountId): void {
    if (this.active.has(account)) return;
    const floor = this.lowestActive() ?? this.lastCounter();
    this.counters.set(account, Math.max(this.get(account), floor));
    this.active.add(account);
  }

  /** Marks an account as having no waiting requests. */
  deactivate(account: ClientAccountId): void {
    if (!this.active.delete(account)) return;
    this.lastWaited = account;
    this.forgetIdle();
  }

  /**
   * Adds tokens produced for the account; negative ones correct an estimate. A
   * correction does not lower the counter below the least served of the other
   * waiting accounts: a raise in {@link activate} may since have covered the
   * charge, and the account would jump ahead of accounts that have waited all
   * along.
   */
  charge(account: ClientAccountId, tokens: number): void {
    const before = this.get(account);
    const floor = Math.min(before, this.lowestActive(account) ?? 0);
    this.counters.set(account, Math.max(floor, before + tokens));
  }

  /** The first of {@link inOrder}, without ordering the others. */
  leastServed(): ClientAccountId | undefined {
    let least: ClientAccountId | undefined;
    let leastTokens = Infinity;
    for (const account of this.active) {
      const tokens = this.get(account);
      if (tokens >= leastTokens) continue;
      least = account;
      leastTokens = tokens;
    }
    return least;
  }

  /** Waiting accounts, the least served first. */
  inOrder(): ClientAccountId[] {
    const accounts = [...this.active];
    return accounts.sort((a, b) => this.get(a) - this.get(b));
  }

  private lowestActive(except?: ClientAccountId): number | undefined {
    let lowest: number | undefined;
    for (const account of this.active) {
      if (account === except) continue;
      lowest = Math.min(lowest ?? Infinity, this.get(account));
    }
    return lowest;
  }

  private lastCounter(): number {
    return this.lastWaited === undefined ? 0 : this.get(this.lastWaited);
  }

  private forgetIdle(): void {
    const idle = this.counters.size - this.active.size;
    if (idle <= MAX_IDLE_COUNTER_COUNT) return;
    let lowest: ClientAccountId | undefined;
    for (const account of this.counters.keys()) {
      if (this.active.has(account) || account === this.lastWaited) continue;
      if (lowest === undefined || this.get(account) < this.get(lowest)) {
        lowest = account;
      }
    }
    if (lowest !== undefined) this.counters.delete(lowest);
  }
}
