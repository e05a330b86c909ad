/** Orders to an engine stand-in, with an optional check of fencing tokens. */

import type {Answer} from '../http/stand_in_server.js';

/** The body of `POST /v1/orders`. */
export interface EngineOrder {
  readonly id: string;
  readonly fencingToken: number;
  readonly action: 'load_model' | 'unload_model' | 'change_role';
  readonly model?: string;
}

/** Carries out orders, and records them and the models that are loaded. */
export class EngineOrders {
  checksFencing = true;
  readonly carriedOut: EngineOrder[] = [];
  readonly models = new Set<string>();
  private highestToken = 0;

  /** Answers an order; orders with the same id are carried out only once. */
  submit(order: EngineOrder): Answer {
    if (this.checksFencing && order.fencingToken < this.highestToken) {
      return {status: 409, body: {currentFencingToken: this.highestToken}};
    }
    this.highestToken = Math.max(this.highestToken, order.fencingToken);
    if (this.carriedOut.every(({id}) => id !== order.id)) this.carryOut(order);
    return {status: 200, body: {}};
  }

  private carryOut(order: EngineOrder): void {
    this.carriedOut.push(order);
    if (order.model === undefined) return;
    if (order.action === 'load_model') this.models.add(order.model);
    if (order.action === 'unload_model') this.models.delete(order.model);
  }
}
