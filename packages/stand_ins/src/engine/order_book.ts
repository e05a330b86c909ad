/** Orders to an engine stand-in, checked against old fencing tokens or not. */

import type {Answer} from '../http/stand_in_server.js';

/** The body of `POST /v1/orders`. */
export interface EngineOrder {
  readonly id: string;
  readonly fencingToken: number;
  readonly action: 'load_model' | 'unload_model' | 'change_role';
  readonly model?: string;
}

/** Orders by arrival and what they led to. */
export class OrderBook {
  checksFencing = true;
  readonly carriedOut: EngineOrder[] = [];
  readonly models = new Set<string>();
  private highestToken = 0;

  /** One id is carried out once. */
  take(order: EngineOrder): Answer {
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
