/** Events, effects and state of the protocol that sends orders. */

import type {StoreVersion} from '@snipestage/types/store_version.js';
import type {LeaseName} from '@snipestage/types/ids.js';
import type {OrderResult} from '@snipestage/types/platform_messages.js';
import type {LeaseTerm} from './lease_rows.js';
import type {Order, OrderContent} from './order_rows.js';
import type {Step, TableEffect, TableEvent} from './table_effects.js';

/** Result of sending an order. */
export type OrderAnswer =
  | OrderResult
  /** The lease was not in force when it was to be sent: no byte was written. */
  | {readonly kind: 'not_sent'}
  /** The receiver knows a higher token: this holder has been replaced. */
  | {readonly kind: 'stale_token'};

export type OrdersEvent =
  | TableEvent
  | {readonly kind: 'acquired'; readonly held: LeaseTerm}
  | {readonly kind: 'lost'}
  /** All desired contents; each such event also retries refused targets. */
  | {readonly kind: 'desired'; readonly contents: readonly OrderContent[]}
  | {
      readonly kind: 'order_answered';
      readonly call: number;
      readonly answer: OrderAnswer;
    };

export type OrdersEffect =
  | TableEffect
  /** Send it only if `leaseInForce` in the turn that writes its bytes. */
  | {readonly kind: 'order'; readonly call: number; readonly order: Order}
  | {
      readonly kind: 'refused';
      readonly order: Order;
      readonly reason: string;
    };

/** An order that is being sent, or is still to be settled. */
export interface CurrentOrder {
  readonly order: Order;
  readonly phase: 'recording' | 'sending' | 'clearing';
  /** Version of its intent row; 0 if it has none, or none yet. */
  readonly version: StoreVersion;
  readonly recorded: boolean;
  /** Undefined for an order of a predecessor. */
  readonly content: OrderContent | undefined;
  readonly tries: number;
}

/** State of the orders under a lease, whether this instance holds it or not. */
export interface OrdersState {
  readonly lease: LeaseName;
  readonly term: LeaseTerm | undefined;
  readonly call: number;
  readonly sequence: number;
  readonly scanning: boolean;
  /** Scans that failed since the term began. */
  readonly failedScans: number;
  /** Orders of predecessors whose intents are still to be settled. */
  readonly open: readonly CurrentOrder[];
  readonly current: CurrentOrder | undefined;
  readonly desired: readonly OrderContent[];
  /** By target, the canonical JSON of the content accepted in this term. */
  readonly accepted: Readonly<Record<string, string>>;
  readonly refusedTargets: readonly string[];
}

export type OrdersStep = Step<OrdersState, OrdersEffect>;
