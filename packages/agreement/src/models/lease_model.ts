/**
 * Specification of lease and orders: two instances whose clocks drift apart, a
 * table that loses answers, orders that arrive late. A paused or crashed process
 * is one that takes no actions while time passes. Invariants: two instances never
 * act as the holder at the same time, and no order of an earlier holder changes
 * anything at the platform after one of a later holder.
 */

import {leaseInForce} from '../lease.js';
import {leaseKey, TOKENS_PER_ERA, type LeaseValue} from '../lease_rows.js';
import type {Model} from './explore.js';
import {serializeLeaseWorld} from './lease_model_key.js';
import {
  LEASE_NAME,
  beginProcess,
  onLease,
  onOrders,
} from './lease_model_process.js';
import {receiveOrder, sendOrder} from './lease_model_sending.js';
import {
  replaceProcess,
  type LeaseAction,
  type LeaseModelOptions,
  type LeaseWorld,
  type Process,
} from './lease_world.js';
import {EMPTY_TABLE, setBackTo} from './table_model.js';
import {
  deliver,
  deliverLate,
  listDeliveries,
  listLate,
  type World,
} from './world_model.js';

const LEASE_KEY = leaseKey(LEASE_NAME);

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
      setBacksLeft: options.setBacks ?? 0,
      copy: undefined,
    },
    listActions: state =>
      listLeaseActions(state, lastToken, options.retire ?? false),
    next: (state, action) => nextLeaseWorld(state, action, options),
    findViolation: findLeaseViolation,
    serialize: serializeLeaseWorld,
  };
}

function listLeaseActions(
  state: LeaseWorld,
  lastToken: number,
  mayRetire: boolean,
): readonly LeaseAction[] {
  const actions: LeaseAction[] = [];
  const lease = state.world.table[LEASE_KEY]?.value as LeaseValue | undefined;
  if ((lease?.fencingToken ?? 0) % TOKENS_PER_ERA > lastToken) {
    return [];
  }
  actions.push({type: 'time_passes'});
  if (state.driftLeftMs > 0) {
    actions.push({type: 'time_passes', fasterBy: 0});
    actions.push({type: 'time_passes', fasterBy: 1});
  }
  if (state.setBacksLeft > 0) {
    actions.push({type: state.copy === undefined ? 'copy' : 'set_back'});
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
    // The processes are symmetric, so the first is the first to take the lease.
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
    case 'copy':
      return {...state, copy: state.world.table};
    case 'set_back':
      return setBack(state);
    case 'late':
      return {...state, world: deliverLate(state.world, action.index)};
    case 'arrive':
    case 'answer_late':
      return receiveOrder(state, action, options);
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
      return sendOrder(state, action.process, options);
  }
}

function setBack(state: LeaseWorld): LeaseWorld {
  const {world, copy = EMPTY_TABLE, setBacksLeft} = state;
  const table = setBackTo(copy, 1);
  return {
    ...state,
    world: {...world, table},
    copy: undefined,
    setBacksLeft: setBacksLeft - 1,
  };
}

/**
 * Answers a poll at once. This leaves out no behaviour: a later answer that shows
 * the row as it still is equals a later poll, and one that shows an older row
 * leads to a write that conflicts.
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

function passTime(state: LeaseWorld, fasterBy: number | undefined): LeaseWorld {
  const processes = state.processes.map((process, index) => ({
    ...process,
    nowMs: process.nowMs + ((fasterBy ?? index) === index ? 1 : 0),
  }));
  const driftLeftMs = state.driftLeftMs - (fasterBy === undefined ? 0 : 1);
  return {...state, processes, driftLeftMs};
}

function findLeaseViolation(state: LeaseWorld): string | undefined {
  const inCharge = state.processes.filter(
    ({lease, nowMs}) => leaseInForce(lease, nowMs) !== undefined,
  );
  if (inCharge.length > 1) {
    return 'two instances act as the holder';
  }
  const {tokens} = state;
  const reverted = tokens.some((token, i) => i > 0 && token < tokens[i - 1]);
  return reverted
    ? 'an order of an earlier holder took effect after a later one'
    : undefined;
}
