/**
 * Lets a request with an idempotency key run at most once: its claim is in the
 * table before a byte is sent, and its answer is kept there.
 *
 * Store calls a keyed request: two transactions of one row (claim, settle), no
 * read while answers arrive. A repeated key: one transaction, which conflicts.
 * At `k` keyed requests a second that is `2 k` writes a second. Cleanup scans
 * 256 shards a day and deletes `k` rows a second, by any one instance.
 */

import type {
  ClientAccountId,
  IdempotencyKey,
  Incarnation,
} from '@snipestage/types/ids.js';
import type {
  ReadResult,
  Row,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';
import {
  claimKey,
  type ClaimOwner,
  type ClaimStatus,
  type ClaimValue,
  type KeptAnswer,
} from './claim_rows.js';
import {
  findRow,
  retryDelayMs,
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';

/** What is to happen to the request; told once. */
export type ClaimDecision =
  /** The claim is this attempt's: send it, once, and tell how it ended. */
  | {readonly kind: 'send'}
  | {readonly kind: 'replay'; readonly answer: KeptAnswer}
  /** Other content under the same key. */
  | {readonly kind: 'content_conflict'}
  | {readonly kind: 'in_progress'; readonly retryAfterMs: number}
  /** An earlier attempt may have run; it is not run again. */
  | {
      readonly kind: 'outcome_unknown';
      readonly verdict: 'may_have_run' | 'ran';
    }
  /** The claim could not be settled: this attempt was not sent. */
  | {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** How a sent attempt ended; `not_run` only if that is certain. */
export type AttemptEnd =
  | {readonly kind: 'not_run'}
  | {readonly kind: 'ran'; readonly answer: KeptAnswer}
  | {readonly kind: 'unknown'; readonly verdict: 'may_have_run' | 'ran'};

export type ClaimEvent =
  | TableEvent
  | {
      readonly kind: 'attempt_ended';
      readonly end: AttemptEnd;
      readonly nowMs: number;
    };

export type ClaimEffect =
  TableEffect | {readonly kind: 'decide'; readonly decision: ClaimDecision};

/** One attempt's dealings with its claim row. */
export interface ClaimState {
  readonly key: string;
  readonly owner: ClaimOwner;
  readonly liveIncarnations: readonly Incarnation[];
  readonly call: number;
  readonly tries: number;
  /**
   * `claiming`: before the decision. `held`: sent. `settling`: the row is to
   * get `goal`; the decision has been told. `done`: nothing more to do.
   */
  readonly phase: 'claiming' | 'held' | 'settling' | 'done';
  readonly goal: ClaimStatus;
  /** The version that the last transaction checked. */
  readonly version: number;
}

export type ClaimStep = Step<ClaimState, ClaimEffect>;

const MAX_CLAIM_TRIES = 3;
const RETRY_AFTER_MS = 1000;

/**
 * Starts to claim a key for one attempt. `liveIncarnations` only chooses
 * between the answers "in progress" and "outcome unknown": neither runs it.
 *
 * @example
 * let {state, effects} = beginClaim({clientAccount, idempotencyKey, owner});
 */
export function beginClaim(options: {
  readonly clientAccount: ClientAccountId;
  readonly idempotencyKey: IdempotencyKey;
  readonly owner: ClaimOwner;
  readonly liveIncarnations?: readonly Incarnation[];
}): ClaimStep {
  return write({
    key: claimKey(options.clientAccount, options.idempotencyKey),
    owner: options.owner,
    liveIncarnations: options.liveIncarnations ?? [],
    call: 0,
    tries: 0,
    phase: 'claiming',
    goal: {kind: 'claimed'},
    version: 0,
  });
}

/**
 * Takes in the result of an effect or the end of the attempt.
 *
 * @example
 * ({state, effects} = transitionClaim(state, event));
 */
export function transitionClaim(
  state: ClaimState,
  event: ClaimEvent,
): ClaimStep {
  if (event.kind === 'attempt_ended') {
    return state.phase === 'held'
      ? settle(state, event.end)
      : {state, effects: []};
  }
  if (event.call !== state.call || state.phase === 'done') {
    return {state, effects: []};
  }
  switch (event.kind) {
    case 'waited':
      return readBack(state);
    case 'read_answered':
      return takeRows(state, event.result);
    case 'transaction_answered':
      return takeWrite(state, event.result);
  }
}

/** Writes the goal, on the row as it was last seen. */
function write(state: ClaimState): ClaimStep {
  const value: ClaimValue = {...state.owner, status: state.goal};
  const transaction: TableTransaction = {
    checks: [{key: state.key, version: state.version}],
    writes: [{key: state.key, value}],
  };
  return startCall({...state, tries: state.tries + 1}, call => ({
    kind: 'transact',
    call,
    transaction,
  }));
}

function readBack(state: ClaimState): ClaimStep {
  return startCall(state, call => ({kind: 'read', call, keys: [state.key]}));
}

function takeWrite(state: ClaimState, result: TransactionResult): ClaimStep {
  switch (result.kind) {
    case 'committed':
      return reached(state, result.versions[state.key]);
    case 'conflict':
      return decideByRow(state, findRow(result.rows, state.key));
    case 'unknown':
      // Sent without its claim, the request would run a second time when its
      // caller asks again elsewhere. So the row is read before anything else.
      return state.phase === 'claiming' ? readBack(state) : retryLater(state);
  }
}

function takeRows(state: ClaimState, result: ReadResult): ClaimStep {
  if (result.kind === 'unavailable') {
    return retryLater(state);
  }
  return decideByRow(state, findRow(result.rows, state.key));
}

function decideByRow(state: ClaimState, row: Row): ClaimStep {
  const value = row.value as ClaimValue | null;
  const own = value?.attempt === state.owner.attempt;
  if (own && value.status.kind === state.goal.kind) {
    return reached(state, row.version);
  }
  if (state.phase === 'settling') {
    return settleByRow(state, row, own);
  }
  if (value === null || value.status.kind === 'released') {
    // Absent or free: what was sent may yet arrive. The same transaction again,
    // on the same version, lets only one of the two take effect.
    return state.tries < MAX_CLAIM_TRIES
      ? write({...state, version: row.version})
      : abandon(state);
  }
  return decide({...state, phase: 'done'}, decideByOther(state, value));
}

function decideByOther(state: ClaimState, value: ClaimValue): ClaimDecision {
  const {status} = value;
  if (value.fingerprint !== state.owner.fingerprint) {
    return {kind: 'content_conflict'};
  }
  if (status.kind === 'answered') {
    return {kind: 'replay', answer: status.answer};
  }
  if (status.kind === 'unknown') {
    return {kind: 'outcome_unknown', verdict: status.verdict};
  }
  const alive = state.liveIncarnations.includes(value.incarnation);
  return alive
    ? {kind: 'in_progress', retryAfterMs: RETRY_AFTER_MS}
    : {kind: 'outcome_unknown', verdict: 'may_have_run'};
}

/** The row has the goal. */
function reached(state: ClaimState, version: number): ClaimStep {
  if (state.phase === 'settling') {
    return {state: {...state, phase: 'done', version}, effects: []};
  }
  return decide({...state, phase: 'held', version}, {kind: 'send'});
}

function decide(state: ClaimState, decision: ClaimDecision): ClaimStep {
  return {state, effects: [{kind: 'decide', decision}]};
}

/**
 * Refuses as not run. The claim may yet arrive and would block the key with an
 * attempt that never ends, so this attempt, and no other, puts a released row
 * in its place; on a free row too, which makes a late claim fail.
 */
function abandon(state: ClaimState): ClaimStep {
  const goal = {kind: 'released'} as const;
  const clearing = readBack({...state, phase: 'settling', goal, tries: 0});
  const decision = {kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS} as const;
  const told = decide(clearing.state, decision);
  return {...told, effects: [...told.effects, ...clearing.effects]};
}

function settle(state: ClaimState, end: AttemptEnd): ClaimStep {
  return write({...state, phase: 'settling', goal: statusOf(end), tries: 0});
}

function statusOf(end: AttemptEnd): ClaimStatus {
  switch (end.kind) {
    case 'not_run':
      // Not deleted: a deleted row could come back with the same version, and
      // a late transaction of this attempt would then free another's claim.
      return {kind: 'released'};
    case 'ran':
      return {kind: 'answered', answer: end.answer};
    case 'unknown':
      return end;
  }
}

function settleByRow(state: ClaimState, row: Row, own: boolean): ClaimStep {
  const value = row.value as ClaimValue | null;
  const free = value === null || value.status.kind === 'released';
  if (own || (free && state.goal.kind === 'released')) {
    return write({...state, version: row.version});
  }
  // Another's by now, or expired: nothing of this attempt can arrive.
  return {state: {...state, phase: 'done'}, effects: []};
}

function retryLater(state: ClaimState): ClaimStep {
  if (state.phase === 'claiming' && state.tries >= MAX_CLAIM_TRIES) {
    return abandon(state);
  }
  const delayMs = retryDelayMs(Math.max(1, state.tries));
  return startCall({...state, tries: state.tries + 1}, call => ({
    kind: 'wait',
    call,
    delayMs,
  }));
}
