/** One instance of the specification: the production functions, combined. */

import {
  brandAs,
  type DataCentreId,
  type LeaseName,
  type ModelId,
} from '@snipestage/types/ids.js';
import {beginLease, transitionLease, type LeaseEvent} from '../lease.js';
import type {OrderContent} from '../order_rows.js';
import {beginOrders, transitionOrders} from '../orders.js';
import type {OrdersEvent, OrdersStep} from '../order_messages.js';
import type {LeaseModelOptions, Process} from './lease_world.js';

export const LEASE_NAME = brandAs<LeaseName>('orders/akl-a');
const TERM_MS = 2;

/** An instance in its initial state. */
export function beginProcess(
  index: number,
  options: LeaseModelOptions,
): Process {
  const lease = beginLease({
    name: LEASE_NAME,
    instance: brandAs(`instance-${index}`),
    incarnation: brandAs(`incarnation-${index}`),
    termMs: TERM_MS,
    marginMs: options.marginMs ?? 1,
    // Due at every tick: the exploration chooses when ticks come.
    renewEveryMs: options.renewals === false ? Infinity : 0,
    pollEveryMs: 0,
  });
  const desired = options.orders === false ? [] : [contentOf(index)];
  return {
    nowMs: 0,
    lease,
    leaseCall: undefined,
    orders: {...beginOrders(LEASE_NAME), desired},
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

/** Feeds an event to the lease, and the resulting events to the orders. */
export function onLease(
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

/** Feeds an event to the orders; does nothing without desired contents. */
export function onOrders(
  process: Process,
  event: OrdersEvent,
  options: LeaseModelOptions,
): Process {
  if (process.orders.desired.length === 0) {
    return process;
  }
  const mutate = options.mutateOrders ?? (each => each);
  const mutated = mutate(event, process.orders);
  const step: OrdersStep = transitionOrders(process.orders, mutated);
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
