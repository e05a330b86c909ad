/**
 * Accepts one change ticket, as a protocol between the accepting instance and
 * the table.
 *
 * Store calls for a ticket that meets no other on the same objects: one read
 * (of `2 + 2 changes + references + removals` rows), one transaction (of
 * `2 + changes + references` rows, one more for each object that comes or
 * goes), and one scan if it removes something. At `c` tickets a day that is
 * `c / 86,400` of each a second.
 */

import type {ChangeTicket} from '@snipestage/types/configuration.js';
import {brandAs, type Revision} from '@snipestage/types/ids.js';
import type {
  ReadResult,
  Row,
  TransactionResult,
} from '@snipestage/types/table.js';
import {
  findRow,
  retryDelayMs,
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';
import {
  listTicketKeys,
  needsObjects,
  planTicket,
  type TicketPlan,
  type TicketRefusal,
  type TicketStrategy,
} from './ticket_plan.js';
import {HEAD_KEY, OBJECTS_PREFIX} from './ticket_rows.js';

/**
 * How a ticket ended. For `already_accepted`, and for `accepted` after a lost
 * answer, `revision` is one that contains the ticket, though not always the
 * first. `unavailable`: nothing took effect nor will. `unknown`: it may have or
 * may yet; asking again with the same ticket is safe and settles it.
 */
export type TicketOutcome =
  | TicketRefusal
  | {readonly kind: 'accepted'; readonly revision: Revision}
  | {readonly kind: 'already_accepted'; readonly revision: Revision}
  | {readonly kind: 'unavailable'}
  | {readonly kind: 'unknown'};

/** A ticket on its way. */
export interface TicketState {
  readonly ticket: ChangeTicket;
  readonly strategy: TicketStrategy;
  readonly maxAttempts: number;
  readonly attempt: number;
  /** Number of the call whose result is awaited; others are late. */
  readonly call: number;
  readonly phase:
    | 'reading'
    | 'scanning'
    | 'committing'
    | 'reading_revision'
    | 'waiting'
    | 'done';
  readonly rows: readonly Row[];
  /** A transaction was sent whose result is not known. */
  readonly inDoubt: boolean;
  readonly outcome: TicketOutcome | undefined;
}

export type TicketStep = Step<TicketState, TableEffect>;

const DEFAULT_MAX_ATTEMPTS = 8;

/**
 * Starts to accept a ticket whose fields were found valid.
 *
 * @example
 * let {state, effects} = beginTicket({ticket});
 */
export function beginTicket(options: {
  readonly ticket: ChangeTicket;
  readonly strategy?: TicketStrategy;
  readonly maxAttempts?: number;
}): TicketStep {
  return startAttempt({
    ticket: options.ticket,
    strategy: options.strategy ?? 'dependency',
    maxAttempts: options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS,
    attempt: 0,
    call: 0,
    phase: 'reading',
    rows: [],
    inDoubt: false,
    outcome: undefined,
  });
}

/**
 * Takes in the result of an effect; `state.outcome` is set at the end.
 *
 * @example
 * ({state, effects} = transitionTicket(state, event));
 */
export function transitionTicket(
  state: TicketState,
  event: TableEvent,
): TicketStep {
  if (state.phase === 'done' || event.call !== state.call) {
    return {state, effects: []};
  }
  switch (event.kind) {
    case 'waited':
      return startAttempt(state);
    case 'read_answered':
      return takeRows(state, event.result);
    case 'transaction_answered':
      return takeCommit(state, event.result);
  }
}

/**
 * The same ticket without further attempts: the one under way decides. For an
 * instance that stops, where eight attempts at a store that is down would take
 * longer than its last writes may.
 *
 * @example
 * ({state, effects} = transitionTicket(limitToThisAttempt(state), event));
 */
export function limitToThisAttempt(state: TicketState): TicketState {
  return {...state, maxAttempts: state.attempt};
}

function startAttempt(state: TicketState): TicketStep {
  const keys = listTicketKeys(state.ticket);
  const attempt = state.attempt + 1;
  const reading = {...state, attempt, rows: [], phase: 'reading'} as const;
  return startCall(reading, call => ({kind: 'read', call, keys}));
}

function takeRows(state: TicketState, result: ReadResult): TicketStep {
  if (result.kind === 'unavailable') {
    // Once the ticket's row was seen, "nothing took effect" would be untrue.
    const seen = state.phase === 'reading_revision';
    return retry({...state, inDoubt: state.inDoubt || seen});
  }
  if (state.phase === 'reading_revision') {
    const {version} = findRow(result.rows, HEAD_KEY);
    const kind = state.inDoubt ? 'accepted' : 'already_accepted';
    return finish(state, {kind, revision: brandAs<Revision>(version)});
  }
  if (state.phase === 'reading' && needsObjects(state.ticket)) {
    const {rows} = result;
    const scanning = {...state, phase: 'scanning', rows} as const;
    const prefix = OBJECTS_PREFIX;
    return startCall(scanning, call => ({kind: 'scan', call, prefix}));
  }
  const scanned = state.phase === 'scanning';
  const plan = planTicket({
    ticket: state.ticket,
    strategy: state.strategy,
    rows: scanned ? state.rows : result.rows,
    objects: scanned ? result.rows : [],
  });
  return follow(state, plan);
}

function follow(state: TicketState, plan: TicketPlan): TicketStep {
  switch (plan.kind) {
    case 'commit': {
      const {transaction} = plan;
      return startCall({...state, phase: 'committing'}, call => ({
        kind: 'transact',
        call,
        transaction,
      }));
    }
    case 'already_accepted': {
      // The rows need not have been read at one moment: a head read before the
      // ticket was committed would be a revision that does not contain it.
      return startCall({...state, phase: 'reading_revision'}, call => ({
        kind: 'read',
        call,
        keys: [HEAD_KEY],
      }));
    }
    default:
      // True even while a transaction is in doubt: what was read since differs
      // from what that one checks, so it can't take effect any more.
      return finish(state, plan);
  }
}

function takeCommit(state: TicketState, result: TransactionResult): TicketStep {
  switch (result.kind) {
    case 'committed': {
      const revision = brandAs<Revision>(result.versions[HEAD_KEY]);
      return finish(state, {kind: 'accepted', revision});
    }
    case 'conflict':
      return state.attempt < state.maxAttempts
        ? startAttempt(state)
        : giveUp(state);
    case 'unknown':
      // Telling the operator "failed" here while the transaction took effect
      // would have them file it again under another number. The next attempt
      // reads the ticket's row first; if it isn't there, the same transaction
      // is sent again, and the check that the row is absent lets one of the
      // two take effect at most.
      return retry({...state, inDoubt: true});
  }
}

function retry(state: TicketState): TicketStep {
  if (state.attempt >= state.maxAttempts) {
    return giveUp(state);
  }
  const delayMs = retryDelayMs(state.attempt);
  return startCall({...state, phase: 'waiting'}, call => ({
    kind: 'wait',
    call,
    delayMs,
  }));
}

function giveUp(state: TicketState): TicketStep {
  return finish(state, {kind: state.inDoubt ? 'unknown' : 'unavailable'});
}

function finish(state: TicketState, outcome: TicketOutcome): TicketStep {
  return {state: {...state, phase: 'done', outcome}, effects: []};
}
