/**
 * Sends orders under a lease, one at a time: an intent row is written,
 * conditional on the fence row, then the order is sent under the same id, then
 * the row is deleted. A new holder settles its predecessor's open intents under
 * their own ids before it sends anything new, so that an order of the predecessor
 * that arrives late has an id that was already carried out and changes nothing.
 *
 * Engines that check fencing tokens get the order without an intent row, as the
 * engine itself refuses a late older one. For other engines the row is written as
 * for the platform. But engines do not guarantee to carry out an id only once:
 * for those without a token check, resetting the connection at the term's end
 * keeps a late order out. A process that is frozen at that moment remains a gap.
 *
 * Table calls: two writes per order (none for an engine that checks tokens), and
 * one scan for each change of holder.
 */

import type {StoreVersion} from '@snipestage/types/store_version.js';
import type {LeaseName} from '@snipestage/types/ids.js';
import type {ReadResult, TransactionResult} from '@snipestage/types/table.js';
import {fenceKey} from './lease_rows.js';
import type {
  CurrentOrder,
  OrderAnswer,
  OrdersEvent,
  OrdersState,
  OrdersStep,
} from './order_messages.js';
import {
  intentKey,
  intentPrefix,
  type IntentValue,
  composeIntentWrite,
} from './order_rows.js';
import {
  findOutstanding,
  noteAccepted,
  noteRefused,
  startOrder,
} from './outstanding_orders.js';
import {findRow, retryDelayMs, startCall} from './table_effects.js';

/**
 * @example
 * let state = beginOrders(brandAs<LeaseName>('orders/akl-a'));
 */
export function beginOrders(lease: LeaseName): OrdersState {
  return {
    lease,
    term: undefined,
    call: 0,
    sequence: 0,
    scanning: false,
    failedScans: 0,
    open: [],
    current: undefined,
    desired: [],
    accepted: {},
    refusedTargets: [],
  };
}

/**
 * Handles a change of the lease, the result of an effect, or new desired
 * contents.
 *
 * @example
 * ({state, effects} = transitionOrders(state, {kind: 'desired', contents}));
 */
export function transitionOrders(
  state: OrdersState,
  event: OrdersEvent,
): OrdersStep {
  switch (event.kind) {
    case 'acquired':
      return scan({...resetTerm(state), term: event.held});
    case 'lost':
      return {state: resetTerm(state), effects: []};
    case 'desired':
      return startNext({
        ...state,
        desired: event.contents,
        refusedTargets: [],
      });
    default:
      return state.term !== undefined && event.call === state.call
        ? handleResult(state, event)
        : {state, effects: []};
  }
}

type OrderResultEvent = Exclude<
  OrdersEvent,
  {readonly kind: 'acquired' | 'lost' | 'desired'}
>;

function handleResult(state: OrdersState, event: OrderResultEvent): OrdersStep {
  switch (event.kind) {
    case 'waited':
      return retryNow(state);
    case 'read_answered':
      return handleOpenIntents(state, event.result);
    case 'order_answered':
      return handleOrderAnswer(state, event.answer);
    case 'transaction_answered':
      return handleIntentWriteResult(state, event.result);
  }
}

/** Raises the call number, so that results of the former term are ignored. */
function resetTerm(state: OrdersState): OrdersState {
  const empty = beginOrders(state.lease);
  return {...empty, call: state.call + 1, desired: state.desired};
}

function scan(state: OrdersState): OrdersStep {
  const prefix = intentPrefix(state.lease);
  return startCall({...state, scanning: true}, call => ({
    kind: 'scan',
    call,
    prefix,
  }));
}

function handleOpenIntents(state: OrdersState, result: ReadResult): OrdersStep {
  if (result.kind === 'unavailable') {
    const failedScans = state.failedScans + 1;
    return scheduleRetry({...state, failedScans}, failedScans);
  }
  const open = result.rows.map(({value, version}): CurrentOrder => ({
    order: (value as IntentValue).order,
    phase: 'sending',
    version,
    recorded: true,
    content: undefined,
    tries: 0,
  }));
  return startNext({...state, scanning: false, failedScans: 0, open});
}

function startNext(state: OrdersState): OrdersStep {
  if (!state.term || state.scanning || state.current) {
    return {state, effects: []};
  }
  if (state.open.length > 0) {
    const [current, ...open] = state.open;
    return perform({...state, open, current});
  }
  const content = findOutstanding(state);
  if (content === undefined) {
    return {state, effects: []};
  }
  return perform(startOrder(state, state.term, content));
}

/** Carries out, or repeats, the phase of the current order. */
function perform(state: OrdersState): OrdersStep {
  const {current} = state;
  switch (current?.phase) {
    case undefined:
      return {state, effects: []};
    case 'sending': {
      const {order} = current;
      return startCall(state, call => ({kind: 'order', call, order}));
    }
    case 'recording':
      return transact(state, current, {order: current.order});
    case 'clearing':
      return transact(state, current, null);
  }
}

/** Writes or deletes the intent row, if the lease has not changed hands. */
function transact(
  state: OrdersState,
  current: CurrentOrder,
  value: IntentValue | null,
): OrdersStep {
  const {lease, term} = state;
  const transaction = composeIntentWrite({
    lease,
    fenceVersion: term!.fenceVersion,
    id: current.order.order.id,
    version: current.version,
    value,
  });
  return startCall(state, call => ({kind: 'transact', call, transaction}));
}

function handleIntentWriteResult(
  state: OrdersState,
  result: TransactionResult,
): OrdersStep {
  const current = state.current!;
  const key = intentKey(current.order.order.id);
  switch (result.kind) {
    case 'committed':
      return advance(state, result.versions[key]);
    case 'conflict': {
      const fence = fenceKey(state.lease);
      if (result.rows.some(row => row.key === fence)) {
        return {state: resetTerm(state), effects: []};
      }
      // Only this holder writes the row, so an earlier try whose outcome was
      // unknown has taken effect.
      return advance(state, findRow(result.rows, key).version);
    }
    case 'unknown':
      // If the order were sent without its intent row, a successor would not
      // know of it, and it could arrive after the successor's own. The same
      // write is tried again; a conflict on the intent row then shows that the
      // earlier try took effect.
      return scheduleRetry(state, current.tries + 1);
  }
}

/** Goes on after the intent row was written or deleted. */
function advance(state: OrdersState, version: StoreVersion): OrdersStep {
  const current = state.current!;
  if (current.phase === 'recording') {
    const sending = {...current, phase: 'sending', version, tries: 0} as const;
    return perform({...state, current: sending});
  }
  return startNext({...state, current: undefined});
}

function handleOrderAnswer(
  state: OrdersState,
  answer: OrderAnswer,
): OrdersStep {
  const current = state.current!;
  switch (answer.kind) {
    case 'accepted':
      return clear(noteAccepted(state, current));
    case 'refused': {
      const {order} = current;
      const step = clear(noteRefused(state, current));
      const refusal = {kind: 'refused', order, reason: answer.reason} as const;
      return {...step, effects: [refusal, ...step.effects]};
    }
    case 'stale_token':
      return {state: resetTerm(state), effects: []};
    default:
      return scheduleRetry(state, current.tries + 1);
  }
}

function clear(state: OrdersState): OrdersStep {
  const current = state.current!;
  if (!current.recorded) {
    return startNext({...state, current: undefined});
  }
  const clearing = {...current, phase: 'clearing', tries: 0} as const;
  return perform({...state, current: clearing});
}

function scheduleRetry(state: OrdersState, tries: number): OrdersStep {
  const current = state.current && {...state.current, tries};
  const delayMs = retryDelayMs(tries);
  return startCall({...state, current}, call => ({
    kind: 'wait',
    call,
    delayMs,
  }));
}

function retryNow(state: OrdersState): OrdersStep {
  return state.scanning ? scan(state) : perform(state);
}
