/** Orders to the platform and to engines, and the rows that announce them. */

import type {StoreVersion} from '@snipestage/types/store_version.js';
import type {
  EndpointId,
  FencingToken,
  LeaseName,
  ModelId,
  OrderId,
} from '@snipestage/types/ids.js';
import {brandAs} from '@snipestage/types/ids.js';
import type {EndpointOrder} from '@snipestage/types/platform_messages.js';
import type {TableTransaction} from '@snipestage/types/table.js';
import {fenceKey} from './lease_rows.js';

/** An order to a model engine. */
export interface EngineOrder {
  readonly id: OrderId;
  readonly fencingToken: FencingToken;
  readonly endpoint: EndpointId;
  readonly action: 'load_model' | 'unload_model' | 'change_role';
  readonly model?: ModelId;
  readonly role?: string;
}

/** An order with its id and token, as it is sent. */
export type Order =
  | {readonly kind: 'endpoints'; readonly order: EndpointOrder}
  | {readonly kind: 'engine'; readonly order: EngineOrder};

/** Content of an order: the absolute state of one target. */
export type OrderContent =
  | {
      readonly kind: 'endpoints';
      readonly order: Omit<EndpointOrder, 'id' | 'fencingToken'>;
    }
  | {
      readonly kind: 'engine';
      readonly order: Omit<EngineOrder, 'id' | 'fencingToken'>;
      /** Whether the engine itself refuses orders with an old token. */
      readonly checksFencing: boolean;
    };

/** Value of an intent row: the order that it announces. */
export interface IntentValue {
  readonly order: Order;
}

const NUMBER_DIGITS = 12;

/**
 * The target that an order sets; a later order for the same target replaces it.
 *
 * @example
 * targetOf(content); // 'endpoints/akl-a/repair/cheap'
 */
export function targetOf(content: OrderContent): string {
  if (content.kind === 'endpoints') {
    const {dataCentre, model, kind} = content.order;
    return `endpoints/${dataCentre}/${model}/${kind}`;
  }
  const {endpoint, action, model} = content.order;
  const subject = action === 'change_role' ? 'role' : `model/${model}`;
  return `engines/${endpoint}/${subject}`;
}

/**
 * Prefix of the open intents under a lease; scans return the oldest first.
 *
 * @example
 * intentPrefix(brandAs<LeaseName>('orders/akl-a')); // 'intents/orders/akl-a/'
 */
export function intentPrefix(lease: LeaseName): string {
  return `intents/${lease}/`;
}

/**
 * Key of an order's intent row: the order's id after `intents/`.
 *
 * @example
 * const key = intentKey(order.id);
 */
export function intentKey(id: OrderId): string {
  return `intents/${id}`;
}

/**
 * The transaction that writes an order's intent row, or deletes it with `null`,
 * if the lease has not changed hands and the row is still at `version`.
 *
 * @example
 * composeIntentWrite({lease, fenceVersion, id, version: ABSENT, value: {order}});
 */
export function composeIntentWrite(options: {
  readonly lease: LeaseName;
  readonly fenceVersion: StoreVersion;
  readonly id: OrderId;
  readonly version: StoreVersion;
  readonly value: IntentValue | null;
}): TableTransaction {
  const {lease, fenceVersion, id, version, value} = options;
  const key = intentKey(id);
  return {
    checks: [
      {key: fenceKey(lease), version: fenceVersion},
      {key, version},
    ],
    writes: [{key, value}],
  };
}

/**
 * An id that is unique to the order: no other holder has the same token.
 *
 * @example
 * composeOrderId(lease, fencingToken, 3);
 */
export function composeOrderId(
  lease: LeaseName,
  fencingToken: FencingToken,
  sequence: number,
): OrderId {
  const pad = (part: number) => String(part).padStart(NUMBER_DIGITS, '0');
  return brandAs<OrderId>(`${lease}/${pad(fencingToken)}/${pad(sequence)}`);
}

/**
 * The order as it is sent.
 *
 * @example
 * const order = composeOrder(content, id, fencingToken);
 */
export function composeOrder(
  content: OrderContent,
  id: OrderId,
  fencingToken: FencingToken,
): Order {
  return content.kind === 'endpoints'
    ? {kind: 'endpoints', order: {...content.order, id, fencingToken}}
    : {kind: 'engine', order: {...content.order, id, fencingToken}};
}

/**
 * Whether an order needs an intent row before it is sent, as its receiver does
 * not itself refuse old fencing tokens.
 *
 * @example
 * needsIntent(content); // true for the platform
 */
export function needsIntent(content: OrderContent): boolean {
  return content.kind === 'endpoints' || !content.checksFencing;
}
