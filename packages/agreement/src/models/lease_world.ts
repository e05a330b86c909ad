/** State and actions of the specification of lease and orders. */

import type {LeaseState, LeaseStep} from '../lease.js';
import type {Order} from '../order_rows.js';
import type {OrdersEvent, OrdersState} from '../order_messages.js';
import type {TableEffect} from '../table_effects.js';
import type {TableModel} from './table_model.js';
import {type Delivery, type LateAction, type World} from './world_model.js';

/** An order that awaits its answer under `call`. */
export interface OrderEffect {
  readonly call: number;
  readonly order: Order;
}

/** One instance: its clock, its lease, its orders, and their pending calls. */
export interface Process {
  readonly nowMs: number;
  readonly lease: LeaseState;
  readonly leaseCall: TableEffect | undefined;
  readonly orders: OrdersState;
  readonly ordersCall: TableEffect | undefined;
  readonly toSend: OrderEffect | undefined;
}

/** An order that was sent; the process `from` awaits its answer. */
export interface SentOrder extends OrderEffect {
  readonly from: number;
}

export interface LeaseWorld {
  readonly world: World;
  readonly processes: readonly Process[];
  readonly sent: readonly SentOrder[];
  /** Ids that the platform carried out, and their tokens in the same order. */
  readonly carriedOut: readonly string[];
  readonly tokens: readonly number[];
  readonly driftLeftMs: number;
  /** Times that the store may still be set back. */
  readonly setBacksLeft: number;
  /** The copy to which it is set back, once one was made. */
  readonly copy: TableModel | undefined;
}

export type LeaseAction =
  | {readonly type: 'copy'}
  | {readonly type: 'set_back'}
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

/** Size of the model, and the mutation, if any. */
export interface LeaseModelOptions {
  /** No action follows once the lease has a higher fencing token. */
  readonly lastToken?: number;
  readonly marginMs?: number;
  readonly losses?: number;
  readonly driftMs?: number;
  readonly orders?: boolean;
  readonly retire?: boolean;
  readonly renewals?: boolean;
  /** How often the store may be set back (0). */
  readonly setBacks?: number;
  readonly mutateLease?: (step: LeaseStep) => LeaseStep;
  readonly mutateOrders?: (
    event: OrdersEvent,
    state: OrdersState,
  ) => OrdersEvent;
}

/** The world with one process replaced. */
export function replaceProcess(
  state: LeaseWorld,
  index: number,
  next: Process,
): LeaseWorld {
  const processes = state.processes.map((each, i) =>
    i === index ? next : each,
  );
  return {...state, processes};
}
