/**
 * Orders in the name of a lease, one at a time: an intent row first, conditional
 * on the fence row, then the order under the same id, then the row is deleted.
 * A new holder settles its predecessor's open intents under their own ids
 * before anything new, so that an order of the predecessor which arrives late
 * has an id that was carried out and changes nothing.
 *
 * Engines that check fencing tokens get the order without an intent row: a late
 * older one is refused by the engine itself. For those that don't, the row is
 * written as for the platform. An engine does not promise to carry an id out
 * once; there the reset of the connection at the term's end is what keeps a
 * late order out, and a process frozen across it is the remaining gap.
 *
 * Store calls: two writes an order (none for an engine that checks tokens), one
 * scan for each change of holder.
 */

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
  takeUp,
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
    open: [],
    current: undefined,
    desired: [],
    accepted: {},
    refusedTargets: [],
  };
}

/**
 * Takes in what became of the lease, of an effect, or of the plan.
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
      return scan({...standDown(state), term: event.held});
    case 'lost':
      return {state: standDown(state), effects: []};
    case 'desired':
      return startNext({
        ...state,
        desired: event.contents,
        refusedTargets: [],
      });
    default:
      return state.term !== undefined && event.call === state.call
        ? takeResult(state, event)
        : {state, effects: []};
  }
}

type OrderResultEvent = Exclude<
  OrdersEvent,
  {readonly kind: 'acquired' | 'lost' | 'desired'}
>;

function takeResult(state: OrdersState, event: OrderResultEvent): OrdersStep {
  switch (event.kind) {
    case 'waited':
      return repeat(state);
    case 'read_answered':
      return takeIntents(state, event.result);
    case 'order_answered':
      return takeAnswer(state, event.answer);
    case 'transaction_answered':
      return takeCommit(state, event.result);
  }
}

/** The call number rises, so that results of the former term pass unheard. */
function standDown(state: OrdersState): OrdersState {
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

function takeIntents(state: OrdersState, result: ReadResult): OrdersStep {
  if (result.kind === 'unavailable') {
    return waitToRepeat(state, 1);
  }
  const open = result.rows.map(({value, version}): CurrentOrder => ({
    order: (value as IntentValue).order,
    phase: 'sending',
    version,
    recorded: true,
    content: undefined,
    tries: 0,
  }));
  return startNext({...state, scanning: false, open});
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
  return perform(takeUp(state, state.term, content));
}

/** Carries out, or repeats, the phase that the current order is in. */
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

/** Writes the intent row, if the lease has not changed hands. */
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

function takeCommit(state: OrdersState, result: TransactionResult): OrdersStep {
  const current = state.current!;
  const key = intentKey(current.order.order.id);
  switch (result.kind) {
    case 'committed':
      return advance(state, result.versions[key]);
    case 'conflict': {
      const fence = fenceKey(state.lease);
      if (result.rows.some(row => row.key === fence)) {
        return {state: standDown(state), effects: []};
      }
      // Only this holder writes the row: an earlier try, taken for lost, did.
      return advance(state, findRow(result.rows, key).version);
    }
    case 'unknown':
      // Sent without its intent, the order would be unknown to a successor and
      // could arrive after the successor's own. The same write is tried again;
      // a conflict on its own row then tells that it had taken effect.
      return waitToRepeat(state, current.tries + 1);
  }
}

/** The row is written or deleted. */
function advance(state: OrdersState, version: number): OrdersStep {
  const current = state.current!;
  if (current.phase === 'recording') {
    const sending = {...current, phase: 'sending', version, tries: 0} as const;
    return perform({...state, current: sending});
  }
  return startNext({...state, current: undefined});
}

function takeAnswer(state: OrdersState, answer: OrderAnswer): OrdersStep {
  const current = state.current!;
  switch (answer.kind) {
    case 'accepted':
      return clear(noteAccepted(state, current));
    case 'refused': {
      const {order} = current;
      const step = clear(noteRefused(state, current));
      const told = {kind: 'refused', order, reason: answer.reason} as const;
      return {...step, effects: [told, ...step.effects]};
    }
    case 'stale_token':
      return {state: standDown(state), effects: []};
    default:
      return waitToRepeat(state, current.tries + 1);
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

function waitToRepeat(state: OrdersState, tries: number): OrdersStep {
  const current = state.current && {...state.current, tries};
  const delayMs = retryDelayMs(tries);
  return startCall({...state, current}, call => ({
    kind: 'wait',
    call,
    delayMs,
  }));
}

function repeat(state: OrdersState): OrdersStep {
  return state.scanning ? scan(state) : perform(state);
}
