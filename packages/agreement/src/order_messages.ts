/** What the sender of orders is told, what it asks for, and where it stands. */

import type {LeaseName} from '@snipestage/types/ids.js';
import type {OrderResult} from '@snipestage/types/platform_messages.js';
import type {LeaseTerm} from './lease_rows.js';
import type {Order, OrderContent} from './order_rows.js';
import type {Step, TableEffect, TableEvent} from './table_effects.js';

/** How an order ended. */
export type OrderAnswer =
  | OrderResult
  /** The guard said no: no byte of it left. */
  | {readonly kind: 'not_sent'}
  /** The receiver knows a higher token: this holder is not in charge. */
  | {readonly kind: 'stale_token'};

export type OrdersEvent =
  | TableEvent
  | {readonly kind: 'acquired'; readonly held: LeaseTerm}
  | {readonly kind: 'lost'}
  /** All that should be so; given again, it retries what was refused. */
  | {readonly kind: 'desired'; readonly contents: readonly OrderContent[]}
  | {
      readonly kind: 'order_answered';
      readonly call: number;
      readonly answer: OrderAnswer;
    };

export type OrdersEffect =
  | TableEffect
  /** Send it if `leaseInForce` in the turn in which its bytes leave. */
  | {readonly kind: 'order'; readonly call: number; readonly order: Order}
  | {
      readonly kind: 'refused';
      readonly order: Order;
      readonly reason: string;
    };

/** The order being worked on. */
export interface CurrentOrder {
  readonly order: Order;
  readonly phase: 'recording' | 'sending' | 'clearing';
  /** Version of its intent row; 0 if it has none (yet). */
  readonly version: number;
  readonly recorded: boolean;
  /** Absent for a predecessor's. */
  readonly content: OrderContent | undefined;
  readonly tries: number;
}

/** What a holder, or one who isn't, knows of its orders. */
export interface OrdersState {
  readonly lease: LeaseName;
  readonly term: LeaseTerm | undefined;
  readonly call: number;
  readonly sequence: number;
  readonly scanning: boolean;
  /** Predecessors' intents that are still to be settled. */
  readonly open: readonly CurrentOrder[];
  readonly current: CurrentOrder | undefined;
  readonly desired: readonly OrderContent[];
  /** By target: the content that was accepted in this term. */
  readonly accepted: Readonly<Record<string, string>>;
  readonly refusedTargets: readonly string[];
}

export type OrdersStep = Step<OrdersState, OrdersEffect>;
