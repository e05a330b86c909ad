/**
 * Specification of lease and orders: two instances whose clocks drift apart, a
 * table that loses answers, orders that arrive late. A process that is paused,
 * or has crashed, is one whose actions don't come while time passes. At no time
 * do two believe that they are in charge, and no order of an earlier holder changes
 * anything at the platform after one of a later holder.
 */

import {
  brandAs,
  type DataCentreId,
  type LeaseName,
  type ModelId,
} from '@snipestage/types/ids.js';
import {
  beginLease,
  leaseInForce,
  transitionLease,
  type LeaseEvent,
  type LeaseState,
  type LeaseStep,
} from '../lease.js';
import {leaseKey, type LeaseValue} from '../lease_rows.js';
import type {Order, OrderContent} from '../order_rows.js';
import {
  beginOrders,
  transitionOrders,
  type OrderAnswer,
  type OrdersEvent,
  type OrdersState,
  type OrdersStep,
} from '../orders.js';
import type {TableEffect} from '../table_effects.js';
import type {Model} from './explore.js';
import {serializeLeaseWorld} from './lease_model_key.js';
import {EMPTY_TABLE} from './table_model.js';
import {
  deliver,
  deliverLate,
  listDeliveries,
  listLate,
  type Delivery,
  type LateAction,
  type World,
} from './world_model.js';

type OrderEffect = {readonly call: number; readonly order: Order};

interface Process {
  readonly nowMs: number;
  readonly lease: LeaseState;
  readonly leaseCall: TableEffect | undefined;
  readonly orders: OrdersState;
  readonly ordersCall: TableEffect | undefined;
  readonly toSend: OrderEffect | undefined;
}

/** An order whose bytes have left; `from` awaits its answer under `call`. */
interface SentOrder extends OrderEffect {
  readonly from: number;
}

export interface LeaseWorld {
  readonly world: World;
  readonly processes: readonly Process[];
  readonly sent: readonly SentOrder[];
  /** Ids that the platform carried out, and their tokens in that order. */
  readonly carriedOut: readonly string[];
  readonly tokens: readonly number[];
  readonly driftLeftMs: number;
}

export type LeaseAction =
  | {readonly type: 'time_passes'; readonly fasterBy?: number}
  | {readonly type: 'tick'; readonly process: number}
  | {readonly type: 'retire'; readonly process: number}
  | {
      readonly type: 'deliver';
      readonly process: number;
      readonly of: 'leaseCall' | 'ordersCall';
      readonly delivery: Delivery;
    }
  | LateAction
  | {readonly type: 'send'; readonly process: number}
  | {
      readonly type: 'arrive';
      readonly index: number;
      readonly answered: boolean;
    }
  | {readonly type: 'answer_late'; readonly index: number};

/** How large the model is, and the rule that a mutant breaks. */
export interface LeaseModelOptions {
  /** No time passes after this fencing token. */
  readonly lastToken?: number;
  readonly marginMs?: number;
  readonly losses?: number;
  readonly driftMs?: number;
  readonly orders?: boolean;
  readonly retire?: boolean;
  readonly renewals?: boolean;
  readonly mutateLease?: (step: LeaseStep) => LeaseStep;
  readonly mutateOrders?: (
    event: OrdersEvent,
    state: OrdersState,
  ) => OrdersEvent;
}

const NAME = brandAs<LeaseName>('orders/akl-a');
const LEASE_KEY = leaseKey(NAME);
const TERM_MS = 2;

/**
 * The specification over the production functions. Terms last two time units.
 *
 * @example
 * explore(createLeaseModel({orders: false}), 1_000_000).violation; // undefined
 */
export function createLeaseModel(
  options: LeaseModelOptions = {},
): Model<LeaseWorld, LeaseAction> {
  const {lastToken = 2} = options;
  return {
    initial: {
      world: {table: EMPTY_TABLE, late: [], lossesLeft: options.losses ?? 1},
      processes: [0, 1].map(index => beginProcess(index, options)),
      sent: [],
      carriedOut: [],
      tokens: [],
      driftLeftMs: options.driftMs ?? 1,
    },
    listActions: state =>
      listLeaseActions(state, lastToken, options.retire ?? false),
    next: (state, action) => nextLeaseWorld(state, action, options),
    findViolation: findLeaseViolation,
    serialize: serializeLeaseWorld,
  };
}

function beginProcess(index: number, options: LeaseModelOptions): Process {
  const lease = beginLease({
    name: NAME,
    instance: brandAs(`instance-${index}`),
    incarnation: brandAs(`incarnation-${index}`),
    termMs: TERM_MS,
    marginMs: options.marginMs ?? 1,
    // Due at every tick: when ticks come is left to the exploration.
    renewEveryMs: options.renewals === false ? Infinity : 0,
    pollEveryMs: 0,
  });
  const desired = options.orders === false ? [] : [contentOf(index)];
  return {
    nowMs: 0,
    lease,
    leaseCall: undefined,
    orders: {...beginOrders(NAME), desired},
    ordersCall: undefined,
    toSend: undefined,
  };
}

function contentOf(targetCount: number): OrderContent {
  const dataCentre = brandAs<DataCentreId>('akl-a');
  const model = brandAs<ModelId>('repair');
  return {
    kind: 'endpoints',
    order: {dataCentre, model, kind: 'cheap', targetCount, release: []},
  };
}

function listLeaseActions(
  state: LeaseWorld,
  lastToken: number,
  mayRetire: boolean,
): readonly LeaseAction[] {
  const actions: LeaseAction[] = [];
  const lease = state.world.table[LEASE_KEY]?.value as LeaseValue | undefined;
  if ((lease?.fencingToken ?? 0) > lastToken) {
    return [];
  }
  actions.push({type: 'time_passes'});
  if (state.driftLeftMs > 0) {
    actions.push({type: 'time_passes', fasterBy: 0});
    actions.push({type: 'time_passes', fasterBy: 1});
  }
  actions.push(...listLate(state.world));
  state.sent.forEach((_, index) => {
    actions.push({type: 'arrive', index, answered: true});
    if (state.world.lossesLeft > 0) {
      actions.push({type: 'arrive', index, answered: false});
      actions.push({type: 'answer_late', index});
    }
  });
  state.processes.forEach((process, index) => {
    // Both being alike, it may as well be the first that first holds the lease.
    if (index === 0 || lease !== undefined) {
      actions.push(...listProcessActions(state, process, index, mayRetire));
    }
  });
  return actions;
}

function listProcessActions(
  state: LeaseWorld,
  process: Process,
  index: number,
  mayRetire: boolean,
): readonly LeaseAction[] {
  const actions: LeaseAction[] = [{type: 'tick', process: index}];
  if (!process.lease.retiring && mayRetire) {
    actions.push({type: 'retire', process: index});
  }
  for (const of of ['leaseCall', 'ordersCall'] as const) {
    const effect = process[of];
    const deliveries = effect ? listDeliveries(state.world, effect) : [];
    for (const delivery of deliveries) {
      actions.push({type: 'deliver', process: index, of, delivery});
    }
  }
  if (process.toSend !== undefined) {
    actions.push({type: 'send', process: index});
  }
  return actions;
}

function nextLeaseWorld(
  state: LeaseWorld,
  action: LeaseAction,
  options: LeaseModelOptions,
): LeaseWorld {
  switch (action.type) {
    case 'time_passes':
      return passTime(state, action.fasterBy);
    case 'late':
      return {...state, world: deliverLate(state.world, action.index)};
    case 'arrive':
    case 'answer_late':
      return arrive(state, action, options);
  }
  const process = state.processes[action.process];
  const {nowMs} = process;
  const replace = (next: Process) =>
    replaceProcess(state, action.process, next);
  switch (action.type) {
    case 'tick':
    case 'retire': {
      const event = {kind: action.type, nowMs} as const;
      const next = onLease(process, event, options);
      return replace(answerPoll(state.world, next, options));
    }
    case 'deliver': {
      const effect = process[action.of]!;
      const done = deliver(state.world, effect, action.delivery, nowMs);
      const idle = {...process, [action.of]: undefined};
      const next =
        action.of === 'leaseCall'
          ? onLease(idle, done.event, options)
          : onOrders(idle, done.event, options);
      return {...replace(next), world: done.world};
    }
    case 'send':
      return send(state, action.process, options);
  }
}

/**
 * A poll is answered at once. Nothing is lost by that: an answer that comes
 * later and shows the row as it still is equals a later poll, and one that shows
 * it as it no longer is leads to a write that conflicts.
 */
function answerPoll(
  world: World,
  process: Process,
  options: LeaseModelOptions,
): Process {
  const {leaseCall, nowMs} = process;
  if (process.lease.pending?.kind !== 'poll' || leaseCall === undefined) {
    return process;
  }
  const {event} = deliver(world, leaseCall, 'answered', nowMs);
  return onLease({...process, leaseCall: undefined}, event, options);
}

function replaceProcess(
  state: LeaseWorld,
  index: number,
  next: Process,
): LeaseWorld {
  const processes = state.processes.map((each, i) =>
    i === index ? next : each,
  );
  return {...state, processes};
}

function passTime(state: LeaseWorld, fasterBy: number | undefined): LeaseWorld {
  const processes = state.processes.map((process, index) => ({
    ...process,
    nowMs: process.nowMs + ((fasterBy ?? index) === index ? 1 : 0),
  }));
  const driftLeftMs = state.driftLeftMs - (fasterBy === undefined ? 0 : 1);
  return {...state, processes, driftLeftMs};
}

function onLease(
  process: Process,
  event: LeaseEvent,
  options: LeaseModelOptions,
): Process {
  const mutate = options.mutateLease ?? (step => step);
  const step = mutate(transitionLease(process.lease, event));
  let next: Process = {...process, lease: step.state};
  for (const effect of step.effects) {
    switch (effect.kind) {
      case 'acquired':
        next = onOrders(next, {kind: 'acquired', held: effect.held}, options);
        break;
      case 'lost':
        next = onOrders(next, {kind: 'lost'}, options);
        break;
      case 'extended':
        break;
      default:
        next = {...next, leaseCall: effect};
    }
  }
  return next;
}

function onOrders(
  process: Process,
  event: OrdersEvent,
  options: LeaseModelOptions,
): Process {
  if (process.orders.desired.length === 0) {
    return process;
  }
  const mutate = options.mutateOrders ?? (each => each);
  const heard = mutate(event, process.orders);
  const step: OrdersStep = transitionOrders(process.orders, heard);
  let next: Process = {...process, orders: step.state};
  if (event.kind === 'lost' || event.kind === 'acquired') {
    next = {...next, ordersCall: undefined, toSend: undefined};
  }
  for (const effect of step.effects) {
    if (effect.kind === 'order') {
      next = {...next, toSend: effect};
    } else if (effect.kind !== 'refused') {
      next = {...next, ordersCall: effect};
    }
  }
  return next;
}

/** The check of the term and the write are one turn of the event loop. */
function send(
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

/** `answer_late`: taken for lost, it stays on its way. */
function arrive(
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
  const heard = onOrders(process, event, options);
  const lossesLeft = state.world.lossesLeft - (answered ? 0 : 1);
  const next: LeaseWorld = {
    ...replaceProcess(state, from, heard),
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

function findLeaseViolation(state: LeaseWorld): string | undefined {
  const inCharge = state.processes.filter(
    ({lease, nowMs}) => leaseInForce(lease, nowMs) !== undefined,
  );
  if (inCharge.length > 1) {
    return 'two believe that they are in charge';
  }
  const {tokens} = state;
  const reverted = tokens.some((token, i) => i > 0 && token < tokens[i - 1]);
  return reverted
    ? 'an order of an earlier holder took effect after a later one'
    : undefined;
}
