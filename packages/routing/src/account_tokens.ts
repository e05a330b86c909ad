/** Tokens that accounts asked for lately, and their fair shares. */

import type {ClientAccountId} from '@snipestage/types/ids.js';

/** Options of {@link AccountTokens}; defaults in brackets. */
export interface AccountTokensOptions {
  /** Accounts that are counted (256). */
  readonly maxAccounts?: number;
  /**
   * Half-life of the counts (8,000 ms). An instance sees a few requests a
   * second; over less time usual accounts look like large ones by chance.
   */
  readonly halfLifeMs?: number;
}

const DEFAULT_MAX_ACCOUNTS = 256;
const DEFAULT_HALF_LIFE_MS = 8000;
/** After that time an account's last request is an eighth of itself. */
const MAX_SILENT_HALF_LIVES = 3;
/**
 * Standard deviations that are in an account's favour. Counts of an instance
 * are a sample, and one large prompt doesn't show that an account is large.
 */
const FAVOURED_DEVIATIONS = 1;

interface Asked {
  tokens: number;
  /** Sum of the squares, decayed likewise: the variance of the sum. */
  squares: number;
  /** Of the latest decay. */
  atMs: number;
  askedAtMs: number;
}

/** Counts of one service and urgency rank. */
export class AccountTokens {
  /** The account that asked last is last. */
  private readonly asked = new Map<ClientAccountId, Asked>();
  private readonly refused: Asked = {
    tokens: 0,
    squares: 0,
    atMs: 0,
    askedAtMs: 0,
  };
  private readonly maxAccounts: number;
  private readonly halfLifeMs: number;

  constructor(options: AccountTokensOptions = {}) {
    this.maxAccounts = options.maxAccounts ?? DEFAULT_MAX_ACCOUNTS;
    this.halfLifeMs = options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
  }

  get size(): number {
    return this.asked.size;
  }

  noteAsked(account: ClientAccountId, tokens: number, nowMs: number): void {
    const known = this.asked.get(account);
    const asked = known ?? {
      tokens: 0,
      squares: 0,
      atMs: nowMs,
      askedAtMs: nowMs,
    };
    this.add(asked, tokens, nowMs);
    asked.askedAtMs = nowMs;
    this.asked.delete(account);
    this.asked.set(account, asked);
    for (const oldest of this.asked.keys()) {
      if (this.asked.size <= this.maxAccounts) return;
      this.asked.delete(oldest);
    }
  }

  noteRefused(tokens: number, nowMs: number): void {
    this.add(this.refused, tokens, nowMs);
  }

  /** Share of the tokens asked for that were refused lately. */
  refusedShare(nowMs: number): number {
    let total = 0;
    for (const asked of this.asked.values()) {
      this.decay(asked, nowMs);
      total += asked.tokens;
    }
    this.decay(this.refused, nowMs);
    return total > 0 ? Math.min(1, this.refused.tokens / total) : 0;
  }

  /**
   * Part of an account's tokens that is above its share; 0 where that could be
   * chance. However little can be served, an account that asks for no more than
   * the mean isn't above its share.
   *
   * @param servedShare of the tokens of all accounts that can be served.
   * @example
   * const isRefused = random() < tokens.excessOf(account, 0.8, nowMs);
   */
  excessOf(
    account: ClientAccountId,
    servedShare: number,
    nowMs: number,
  ): number {
    const asked = this.asked.get(account);
    if (asked === undefined) return 0;
    this.forgetSilent(nowMs);
    for (const each of this.asked.values()) this.decay(each, nowMs);
    const demands = [...this.asked.values()].map(({tokens}) => tokens);
    const total = demands.reduce((sum, tokens) => sum + tokens, 0);
    const share = Math.max(
      maxMinShare(demands, total * servedShare),
      total / demands.length,
    );
    const deviation = Math.sqrt(asked.squares);
    const certain = asked.tokens - FAVOURED_DEVIATIONS * deviation;
    return certain > share ? 1 - share / asked.tokens : 0;
  }

  /** Silent accounts use no share. */
  private forgetSilent(nowMs: number): void {
    const maxSilentMs = MAX_SILENT_HALF_LIVES * this.halfLifeMs;
    for (const [account, {askedAtMs}] of this.asked) {
      if (nowMs - askedAtMs <= maxSilentMs) return;
      this.asked.delete(account);
    }
  }

  private add(asked: Asked, tokens: number, nowMs: number): void {
    this.decay(asked, nowMs);
    asked.tokens += tokens;
    asked.squares += tokens * tokens;
  }

  private decay(asked: Asked, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - asked.atMs);
    const kept = 0.5 ** (passedMs / this.halfLifeMs);
    asked.tokens *= kept;
    asked.squares *= kept * kept;
    asked.atMs = Math.max(asked.atMs, nowMs);
  }
}

/**
 * The most that each gets when a capacity is shared by max-min fairness: those
 * who ask for less get all of it, and the others the same.
 *
 * @example
 * maxMinShare([1, 1, 6], 5); // 3
 */
export function maxMinShare(
  demands: readonly number[],
  capacity: number,
): number {
  const ascending = demands.toSorted((left, right) => left - right);
  let left = capacity;
  for (const [index, demand] of ascending.entries()) {
    const share = left / (ascending.length - index);
    if (demand >= share) return share;
    left -= demand;
  }
  return Number.POSITIVE_INFINITY;
}
