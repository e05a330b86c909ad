/** Takes a plain service's place: a booking app whose doubles can be seen. */

import type {ServerResponse} from 'node:http';
import type {Request} from 'restify';
import {headerOf, readJson, sendJson} from '../http/exchange.js';
import {StandInServer, type ListenOptions} from '../http/stand_in_server.js';

/** A booking as the app keeps it. */
export interface Booking {
  readonly id: string;
  readonly requestId: string | undefined;
  readonly content: unknown;
}

const STOCK_OF_EVERY_ITEM = 3;

/** Each `POST /bookings` that reaches it makes a booking, also a repeated one. */
export class ServiceStandIn extends StandInServer {
  readonly bookings: Booking[] = [];
  private running = 0;

  constructor(options: ListenOptions = {}) {
    super(options);
    this.server.use((request, response, next) => {
      this.running += 1;
      response.once('close', () => (this.running -= 1));
      echoRequestId(request, response);
      next();
    });
    this.server.post('/bookings', async (request, response) => {
      sendJson(response, 201, this.book(request, await readJson(request)));
    });
    this.server.get('/bookings', async (_request, response) => {
      sendJson(response, 200, {bookings: this.bookings});
    });
    this.server.get('/stock/:item', async (request, response) => {
      const item = String(request.params.item);
      sendJson(response, 200, {item, inStock: STOCK_OF_EVERY_ITEM});
    });
    this.server.get('/load', async (_request, response) => {
      sendJson(response, 200, {running: this.running});
    });
  }

  /**
   * Contents that were booked more than once; each is a fault of the router
   * when its callers sent it once.
   *
   * @example
   * t.deepEqual(service.doubles(), []);
   */
  doubles(): unknown[] {
    const seen = new Set<string>();
    return this.bookings
      .map(booking => booking.content)
      .filter(content => {
        const text = JSON.stringify(content);
        const again = seen.has(text);
        seen.add(text);
        return again;
      });
  }

  private book(request: Request, content: unknown): Booking {
    const id = `booking-${this.bookings.length + 1}`;
    const requestId = headerOf(request, 'x-request-id');
    const booking = {id, requestId, content};
    this.bookings.push(booking);
    return booking;
  }
}

function echoRequestId(request: Request, response: ServerResponse): void {
  const requestId = headerOf(request, 'x-request-id');
  if (requestId !== undefined) response.setHeader('X-Request-Id', requestId);
}
