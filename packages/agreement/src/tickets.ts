/**
 * Accepts one change ticket, as a protocol between the accepting instance and
 * the table.
 *
 * Table calls for a ticket that conflicts with no other: one read (of
 * `2 + 2 changes + references + removals` rows), one transaction (of
 * `2 + changes + references` rows, one more for each object that is created or
 * removed), and one scan if it removes something. At `c` tickets a day that is
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
 * Outcome of a ticket. For `already_accepted`, and for `accepted` after a lost
 * answer, `revision` contains the ticket, but is not always the first that does.
 * `unavailable`: the ticket took no effect and will take none. `unknown`: it may
 * have taken effect or still may; submitting the same ticket again is safe and
 * shows which.
 */
export type TicketOutcome =
  | TicketRefusal
  | {readonly kind: 'accepted'; readonly revision: Revision}
  | {readonly kind: 'already_accepted'; readonly revision: Revision}
  | {readonly kind: 'unavailable'}
  | {readonly kind: 'unknown'};

/** State of a ticket that is being accepted. */
export interface TicketState {
  readonly ticket: ChangeTicket;
  readonly strategy: TicketStrategy;
  readonly maxAttempts: number;
  readonly attempt: number;
  /** Number of the call whose result is awaited; other results are ignored. */
  readonly call: number;
  readonly phase:
    | 'reading'
    | 'scanning'
    | 'committing'
    | 'reading_revision'
    | 'waiting'
    | 'done';
  readonly rows: readonly Row[];
  /**
   * The result of a transaction was unknown, or the table became unavailable
   * after the ticket's row was seen.
   */
  readonly inDoubt: boolean;
  readonly outcome: TicketOutcome | undefined;
}

export type TicketStep = Step<TicketState, TableEffect>;

const DEFAULT_MAX_ATTEMPTS = 8;

/**
 * Starts to accept a ticket whose fields were validated.
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
 * Handles the result of an effect; `state.outcome` is set at the end.
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
      return handleReadResult(state, event.result);
    case 'transaction_answered':
      return handleCommitResult(state, event.result);
  }
}

/**
 * Makes the attempt under way the ticket's last. For an instance that shuts down:
 * eight attempts at a table that is unavailable would take longer than its last
 * writes may.
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

function handleReadResult(state: TicketState, result: ReadResult): TicketStep {
  if (result.kind === 'unavailable') {
    // Once the ticket's row was seen, the outcome must not be `unavailable`,
    // which says that the ticket took no effect.
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
  return followPlan(state, plan);
}

function followPlan(state: TicketState, plan: TicketPlan): TicketStep {
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
      // The rows may have been read at different moments: a head read before the
      // ticket was committed would be a revision that does not contain it.
      return startCall({...state, phase: 'reading_revision'}, call => ({
        kind: 'read',
        call,
        keys: [HEAD_KEY],
      }));
    }
    default:
      // Holds even while a transaction is in doubt: the rows read since differ
      // from those that it checks, so it can't take effect any more.
      return finish(state, plan);
  }
}

function handleCommitResult(
  state: TicketState,
  result: TransactionResult,
): TicketStep {
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
      // If this were reported as a failure although the transaction took effect,
      // the operator would submit the change again under another number. The
      // next attempt reads the ticket's row first; if it is absent, the same
      // transaction is sent again, and the check that the row is absent lets at
      // most one of the two take effect.
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
