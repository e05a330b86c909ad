/** Lets sessions in that were refused repeatedly. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {ClientAccountId, PromptPartId} from '@snipestage/types/ids.js';
import type {ArrivedRequest} from './load_shedder.js';
import {deepestSharedPart} from './prompt.js';

/** Options of {@link RefusedSessions}; defaults in brackets. */
export interface RefusedSessionsOptions {
  /** Accounts that are remembered (128). */
  readonly maxAccounts?: number;
  /** Sessions of an account that are remembered (64). */
  readonly maxSessions?: number;
  /** Time by an agreed clock (the time given); shared by all instances. */
  readonly epochAt?: (nowMs: number) => number;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

const DEFAULT_MAX_ACCOUNTS = 128;
const DEFAULT_MAX_SESSIONS = 64;
/** A session with four requests within this time is served. */
const TURN_MS = 8000;
/** Refusals within that time after which a session is let in. */
const MAX_REFUSALS = 2;
/** For requests without an account, on public routes. */
const NO_ACCOUNT = '' as ClientAccountId;
const HASH_RANGE = 2 ** 32;

interface Refusals {
  count: number;
  firstAtMs: number;
}

/**
 * Sessions are made up by callers, so that each account has its own bounded
 * memory: a caller with many sessions displaces those of its account only.
 */
export class RefusedSessions {
  /** The latest last, as are the sessions of an account. */
  private readonly accounts = new Map<
    ClientAccountId,
    Map<PromptPartId, Refusals>
  >();

  constructor(private readonly options: RefusedSessionsOptions = {}) {}

  /**
   * A number from 0 to 1 below which a share of the requests is refused. That of
   * a session moves around once within the turn: whichever instances it asks,
   * tries at even intervals get numbers that are spread evenly.
   *
   * @example
   * const isRefused = sessions.drawFor(request) < shareToRefuse;
   */
  drawFor(request: ArrivedRequest): number {
    const {random = Math.random, epochAt} = this.options;
    const session = sessionOf(request);
    if (session === undefined) return random();
    const epochMs = epochAt?.(request.nowMs) ?? request.nowMs;
    const turns = hashText(session) / HASH_RANGE + epochMs / TURN_MS;
    return turns - Math.floor(turns);
  }

  /** Whether its session has been refused so often that it is let in. */
  isDue(request: ArrivedRequest): boolean {
    const session = sessionOf(request);
    if (session === undefined) return false;
    const account = request.clientAccount ?? NO_ACCOUNT;
    const refusals = this.accounts.get(account)?.get(session);
    if (refusals === undefined) return false;
    const isRecent = request.nowMs - refusals.firstAtMs <= TURN_MS;
    return isRecent && refusals.count >= MAX_REFUSALS;
  }

  noteRefused(request: ArrivedRequest): void {
    const session = sessionOf(request);
    if (session === undefined) return;
    const {maxAccounts, maxSessions} = this.options;
    const {clientAccount: account = NO_ACCOUNT, nowMs} = request;
    const sessions = this.accounts.get(account) ?? new Map();
    const known = sessions.get(session);
    const isRecent = known && nowMs - known.firstAtMs <= TURN_MS;
    const refusals = isRecent ? known : {count: 0, firstAtMs: nowMs};
    refusals.count += 1;
    putLast(sessions, session, refusals, maxSessions ?? DEFAULT_MAX_SESSIONS);
    putLast(
      this.accounts,
      account,
      sessions,
      maxAccounts ?? DEFAULT_MAX_ACCOUNTS,
    );
  }

  noteAdmitted(request: ArrivedRequest): void {
    const session = sessionOf(request);
    if (session === undefined) return;
    this.accounts.get(request.clientAccount ?? NO_ACCOUNT)?.delete(session);
  }

  /** Number of sessions that are remembered. */
  get size(): number {
    let size = 0;
    for (const sessions of this.accounts.values()) size += sessions.size;
    return size;
  }
}

function sessionOf({prompt}: ArrivedRequest): PromptPartId | undefined {
  return prompt && deepestSharedPart(prompt)?.id;
}

/** Moves an entry to the end and drops the oldest ones above a number. */
function putLast<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  value: Value,
  maxSize: number,
): void {
  map.delete(key);
  map.set(key, value);
  for (const oldest of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(oldest);
  }
}
