/** Sends orders to model engines. */

import type {OrderAnswer} from '@snipestage/agreement/order_messages.js';
import type {EngineOrder} from '@snipestage/agreement/order_rows.js';
import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {SendGuard} from '@snipestage/platform/platform.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import {got} from 'got';

const OK = 200;
const CONFLICT = 409;
const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;
const TIMEOUT_MS = 5000;

/** Returns an endpoint's URL; `undefined` when the endpoint is gone. */
export type UrlLookup = (endpoint: EndpointId) => string | undefined;

/** Sends each order once, only within the lease's term, and never retries. */
export class EngineOrders {
  constructor(private readonly urlOf: UrlLookup) {}

  async send(order: EngineOrder, guard: SendGuard): Promise<OrderAnswer> {
    const address = this.urlOf(order.endpoint);
    if (address === undefined) {
      return {kind: 'refused', reason: 'the endpoint is gone'};
    }
    const url = new URL('/v1/orders', address);
    const connection = await FreshConnection.open({
      host: url.hostname,
      port: Number(url.port),
      mayStillSend: guard.mayStillSend,
      signal: guard.signal,
    });
    if (connection.kind === 'failed') return {kind: 'not_sent'};
    try {
      const {statusCode} = await got.post(url, {
        json: order,
        createConnection: connection.createConnection,
        retry: {limit: 0},
        timeout: {request: TIMEOUT_MS},
        throwHttpErrors: false,
      });
      return answerOf(statusCode);
    } catch (error) {
      if (connection.verdict === 'not_run') return {kind: 'not_sent'};
      return {kind: 'unknown', reason: String(error)};
    } finally {
      connection.reset();
    }
  }
}

function answerOf(status: number): OrderAnswer {
  if (status === OK) return {kind: 'accepted'};
  if (status === CONFLICT) return {kind: 'stale_token'};
  const reason = `status ${status}`;
  const isRefusal = status >= CLIENT_ERROR && status < SERVER_ERROR;
  return isRefusal ? {kind: 'refused', reason} : {kind: 'unknown', reason};
}
