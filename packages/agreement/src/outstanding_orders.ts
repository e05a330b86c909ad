/**
 * Outstanding orders: the desired contents, less those that were accepted, or
 * were refused since the last `desired` event.
 */

import {ABSENT} from '@snipestage/types/store_version.js';
import {canonicalJson} from './canonical_json.js';
import type {LeaseTerm} from './lease_rows.js';
import {
  composeOrder,
  composeOrderId,
  needsIntent,
  targetOf,
  type OrderContent,
} from './order_rows.js';
import type {CurrentOrder, OrdersState} from './order_messages.js';

/** The next content to order; undefined if nothing is outstanding. */
export function findOutstanding(state: OrdersState): OrderContent | undefined {
  return state.desired.find(content => {
    const target = targetOf(content);
    const accepted = state.accepted[target] === canonicalJson(content);
    return !accepted && !state.refusedTargets.includes(target);
  });
}

/** Makes the content the current order, under a new id. */
export function startOrder(
  state: OrdersState,
  {fencingToken}: LeaseTerm,
  content: OrderContent,
): OrdersState {
  const sequence = state.sequence + 1;
  const id = composeOrderId(state.lease, fencingToken, sequence);
  const order = composeOrder(content, id, fencingToken);
  const recorded = needsIntent(content);
  const phase = recorded ? 'recording' : 'sending';
  const current = {
    order,
    phase,
    version: ABSENT,
    recorded,
    content,
    tries: 0,
  } as const;
  return {...state, sequence, current};
}

/** Notes the accepted content; a predecessor's order has none to note. */
export function noteAccepted(
  state: OrdersState,
  {content}: CurrentOrder,
): OrdersState {
  if (content === undefined) {
    return state;
  }
  const target = targetOf(content);
  const accepted = {...state.accepted, [target]: canonicalJson(content)};
  return {...state, accepted};
}

/** Excludes the target until the next `desired` event. */
export function noteRefused(
  state: OrdersState,
  {content}: CurrentOrder,
): OrdersState {
  const targets = content === undefined ? [] : [targetOf(content)];
  return {...state, refusedTargets: [...state.refusedTargets, ...targets]};
}
