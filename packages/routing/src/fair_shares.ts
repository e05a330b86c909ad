/** Refuses accounts above their share while room at engines is short. */

import type {ClientAccountId, ServiceId} from '@snipestage/types/ids.js';
import {AccountTokens} from './account_tokens.js';
import {
  ADMIT,
  LoadShedder,
  type ArrivedRequest,
  type ShedDecision,
} from './load_shedder.js';
import type {RefusedSessions} from './refused_sessions.js';
import type {Pressure, RoomPressure} from './room_pressure.js';
import {findShortage, retryAfterMs} from './room_shedder.js';

/** Options of {@link FairShares}; defaults in brackets. */
export interface FairSharesOptions {
  readonly pressure: RoomPressure;
  readonly sessions: RefusedSessions;
  /** Accounts that are counted in each rank (256). */
  readonly maxAccounts?: number;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

const DEFAULT_MAX_ACCOUNTS = 256;
/** Sessions of accounts above their share are served now and then. */
const MAX_REFUSED_SHARE = 0.75;
/** For requests without an account, on public routes. */
const NO_ACCOUNT = '' as ClientAccountId;

/**
 * An account's share is found by max-min fairness over the tokens that the
 * accounts of one urgency rank asked this instance for in the last seconds:
 * what small accounts don't use goes to the others. The requests of an instance
 * are a sample of an account's, so that its share is the same at each.
 */
export class FairShares extends LoadShedder {
  private readonly ranks = new Map<string, AccountTokens>();
  private readonly random: () => number;

  constructor(private readonly options: FairSharesOptions) {
    super();
    this.random = options.random ?? Math.random;
  }

  decide(request: ArrivedRequest): ShedDecision {
    const {pressure, sessions} = this.options;
    const {prompt, clientAccount: account = NO_ACCOUNT, nowMs} = request;
    if (prompt === undefined) return ADMIT;
    const tokens = this.tokensOf(request);
    tokens.noteAsked(account, prompt.tokens, nowMs);
    const shortage = findScarcity(request, pressure.measure(request));
    if (shortage === undefined || sessions.isDue(request)) return ADMIT;
    const excess = tokens.excessOf(account, 1 - shortage.share, nowMs);
    const share = Math.min(MAX_REFUSED_SHARE, excess);
    if (sessions.drawFor(request) >= share) return ADMIT;
    tokens.noteRefused(prompt.tokens, nowMs);
    sessions.noteRefused(request);
    return {
      kind: 'refuse',
      reason: 'above_share',
      retryAfterMs: retryAfterMs(request, shortage.drainMs, this.random()),
    };
  }

  noteAdmitted(): void {}

  noteEnded(): void {}

  /**
   * Share of the tokens of a request's rank that was refused lately.
   *
   * @example
   * const rest = 1 - (1 - needed) / (1 - shares.readShedShare(request));
   */
  readShedShare(request: ArrivedRequest): number {
    return this.tokensOf(request).refusedShare(request.nowMs);
  }

  /** Number of accounts that are counted. */
  get size(): number {
    let size = 0;
    for (const tokens of this.ranks.values()) size += tokens.size;
    return size;
  }

  private tokensOf({service, urgencyRank}: ArrivedRequest): AccountTokens {
    const key = `${urgencyRank} ${service satisfies ServiceId}`;
    const existing = this.ranks.get(key);
    if (existing !== undefined) return existing;
    const maxAccounts = this.options.maxAccounts ?? DEFAULT_MAX_ACCOUNTS;
    const tokens = new AccountTokens({maxAccounts});
    this.ranks.set(key, tokens);
    return tokens;
  }
}

/**
 * Whether no engine has room for a request: each would begin it late, or it
 * would make more urgent ones late.
 */
function findScarcity(
  request: ArrivedRequest,
  measured: Pressure,
): {readonly share: number; readonly drainMs: number} | undefined {
  const {waitMs, typicalWaitMs, targetMs} = measured;
  const shortage = findShortage(request, measured);
  if (request.urgencyRank === 0 || !(waitMs > targetMs)) return shortage;
  const lateMs = typicalWaitMs - targetMs;
  const share = Math.min(1, lateMs / Math.max(1, targetMs));
  return {
    share: Math.max(share, shortage?.share ?? 0),
    drainMs: Math.max(lateMs, shortage?.drainMs ?? 0),
  };
}
