/**
 * Lets a request with an idempotency key run at most once: its claim is in the
 * table before a byte is sent, and its answer is stored there.
 *
 * Table calls per keyed request: two transactions of one row (claim, settle),
 * and no read unless an answer is lost. A repeated key: one transaction, which
 * conflicts. At `k` keyed requests a second that is `2 k` writes a second.
 * Cleanup scans 256 shards a day and deletes `k` rows a second, by any one
 * instance.
 */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
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
  type StoredAnswer,
} from './claim_rows.js';
import {
  findRow,
  retryDelayMs,
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';

/** What to do with the request; emitted once for each attempt. */
export type ClaimDecision =
  /** This attempt holds the claim: send once, then feed `attempt_ended`. */
  | {readonly kind: 'send'}
  | {readonly kind: 'replay'; readonly answer: StoredAnswer}
  /** The key was used with other content. */
  | {readonly kind: 'content_conflict'}
  | {readonly kind: 'in_progress'; readonly retryAfterMs: number}
  /** An earlier attempt ran or may have run; the request is not run again. */
  | {
      readonly kind: 'outcome_unknown';
      readonly verdict: 'may_have_run' | 'ran';
    }
  /** The claim could not be established: the request was not sent. */
  | {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** How a sent attempt ended; `not_run` only if that is certain. */
export type AttemptEnd =
  | {readonly kind: 'not_run'}
  | {readonly kind: 'ran'; readonly answer: StoredAnswer}
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

/** State of one attempt's claim. */
export interface ClaimState {
  readonly key: string;
  readonly owner: ClaimOwner;
  readonly liveIncarnations: readonly Incarnation[];
  readonly call: number;
  readonly tries: number;
  /**
   * `claiming`: before the decision. `held`: the claim is this attempt's and the
   * request is sent. `settling`: `goal` is being written to the row; the decision
   * has been emitted. `done`: nothing more to do.
   */
  readonly phase: 'claiming' | 'held' | 'settling' | 'done';
  readonly goal: ClaimStatus;
  /** The version that the last transaction checked. */
  readonly version: StoreVersion;
}

export type ClaimStep = Step<ClaimState, ClaimEffect>;

const MAX_CLAIM_TRIES = 3;
const RETRY_AFTER_MS = 1000;

/**
 * Starts to claim a key for one attempt. `liveIncarnations` only decides between
 * the answers "in progress" and "outcome unknown"; neither runs the request.
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
    version: ABSENT,
  });
}

/**
 * Handles the result of an effect or the end of the attempt.
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
      return handleReadResult(state, event.result);
    case 'transaction_answered':
      return handleWriteResult(state, event.result);
  }
}

/** Writes the goal, conditional on the row's last known version. */
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

function handleWriteResult(
  state: ClaimState,
  result: TransactionResult,
): ClaimStep {
  switch (result.kind) {
    case 'committed':
      return handleGoalReached(state, result.versions[state.key]);
    case 'conflict':
      return decideByRow(state, findRow(result.rows, state.key));
    case 'unknown':
      // If the request were sent without its claim in the table, a retry of the
      // caller at another instance would run it again. So the row is read first.
      return state.phase === 'claiming' ? readBack(state) : retryLater(state);
  }
}

function handleReadResult(state: ClaimState, result: ReadResult): ClaimStep {
  if (result.kind === 'unavailable') {
    return retryLater(state);
  }
  return decideByRow(state, findRow(result.rows, state.key));
}

function decideByRow(state: ClaimState, row: Row): ClaimStep {
  const value = row.value as ClaimValue | null;
  const own = value?.attempt === state.owner.attempt;
  if (own && value.status.kind === state.goal.kind) {
    return handleGoalReached(state, row.version);
  }
  if (state.phase === 'settling') {
    return settleByRow(state, row, own);
  }
  if (value === null || value.status.kind === 'released') {
    // Absent or released, but a transaction sent before may still arrive. It is
    // sent again, conditional on the version just read, so that at most one of
    // the two takes effect.
    return state.tries < MAX_CLAIM_TRIES
      ? write({...state, version: row.version})
      : abandon(state);
  }
  return decide({...state, phase: 'done'}, decideByOtherClaim(state, value));
}

function decideByOtherClaim(
  state: ClaimState,
  value: ClaimValue,
): ClaimDecision {
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

/** Goes on once the row has the goal. */
function handleGoalReached(
  state: ClaimState,
  version: StoreVersion,
): ClaimStep {
  if (state.phase === 'settling') {
    return {state: {...state, phase: 'done', version}, effects: []};
  }
  return decide({...state, phase: 'held', version}, {kind: 'send'});
}

function decide(state: ClaimState, decision: ClaimDecision): ClaimStep {
  return {state, effects: [{kind: 'decide', decision}]};
}

/**
 * Refuses the request as not run. The claim's transaction may still arrive and
 * would block the key with an attempt that never ends, so this attempt (and no
 * other) replaces its claim by a released row. It writes that over an absent or
 * released row too, which makes a late claim fail.
 */
function abandon(state: ClaimState): ClaimStep {
  const goal = {kind: 'released'} as const;
  const clearing = readBack({...state, phase: 'settling', goal, tries: 0});
  const decision = {kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS} as const;
  const refusal = decide(clearing.state, decision);
  return {...refusal, effects: [...refusal.effects, ...clearing.effects]};
}

function settle(state: ClaimState, end: AttemptEnd): ClaimStep {
  return write({...state, phase: 'settling', goal: statusOf(end), tries: 0});
}

function statusOf(end: AttemptEnd): ClaimStatus {
  switch (end.kind) {
    case 'not_run':
      // Not deleted: a deleted row could be created again with the same version,
      // and a late transaction of this attempt would then release the claim of
      // another.
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
  // The row is another attempt's by now, or expired: no transaction of this
  // attempt can take effect any more.
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
