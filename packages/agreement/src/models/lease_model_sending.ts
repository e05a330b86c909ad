/** Orders sent to the platform, in the specification of lease and orders. */

import {leaseInForce} from '../lease.js';
import type {Order} from '../order_rows.js';
import type {OrderAnswer} from '../order_messages.js';
import {onOrders} from './lease_model_process.js';
import {
  replaceProcess,
  type LeaseAction,
  type LeaseModelOptions,
  type LeaseWorld,
} from './lease_world.js';

/** Checks the term and sends the order, in one turn of the event loop. */
export function sendOrder(
  state: LeaseWorld,
  index: number,
  options: LeaseModelOptions,
): LeaseWorld {
  const process = state.processes[index];
  const {call, order} = process.toSend!;
  const idle = {...process, toSend: undefined};
  if (leaseInForce(process.lease, process.nowMs) === undefined) {
    const answer = {kind: 'not_sent'} as const;
    const event = {kind: 'order_answered', call, answer} as const;
    return replaceProcess(state, index, onOrders(idle, event, options));
  }
  const sent = [...state.sent, {call, order, from: index}];
  return {...replaceProcess(state, index, idle), sent};
}

/**
 * Delivers an order, its answer, or both. With `answer_late` the sender gets an
 * unknown result and the order may still arrive.
 */
export function receiveOrder(
  state: LeaseWorld,
  action: LeaseAction & {readonly type: 'arrive' | 'answer_late'},
  options: LeaseModelOptions,
): LeaseWorld {
  const {order, call, from} = state.sent[action.index];
  const answered = action.type === 'arrive' && action.answered;
  const answer: OrderAnswer = answered
    ? {kind: 'accepted'}
    : {kind: 'unknown', reason: 'lost'};
  const process = state.processes[from];
  const event = {kind: 'order_answered', call, answer} as const;
  const answeredProcess = onOrders(process, event, options);
  const lossesLeft = state.world.lossesLeft - (answered ? 0 : 1);
  const next: LeaseWorld = {
    ...replaceProcess(state, from, answeredProcess),
    world: {...state.world, lossesLeft},
  };
  return action.type === 'answer_late'
    ? next
    : carryOutOrder(next, order, action.index);
}

function carryOutOrder(
  state: LeaseWorld,
  {order}: Order,
  index: number,
): LeaseWorld {
  const sent = state.sent.filter((_, i) => i !== index);
  if (state.carriedOut.includes(order.id)) {
    return {...state, sent};
  }
  const carriedOut = [...state.carriedOut, order.id];
  return {
    ...state,
    sent,
    carriedOut,
    tokens: [...state.tokens, order.fencingToken],
  };
}
