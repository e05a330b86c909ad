/** A stand-in for a plain service: a booking app that shows duplicates. */

import type {Request} from 'restify';
import {z} from 'zod';
import {headerOf, parseJson} from '../http/exchange.js';
import {EVERY_AREA, faultSchema} from '../http/faults.js';
import {
  StandInServer,
  type Answer,
  type ListenOptions,
} from '../http/stand_in_server.js';

/** Options of {@link ServiceStandIn}. */
export interface ServiceStandInOptions extends ListenOptions {
  /** Path under which records are created, such as `work-orders`. */
  readonly resource?: string;
}

/** A booking or work order as stored by the service. */
export interface ServiceRecord {
  readonly id: string;
  readonly requestId: string | undefined;
  readonly content: unknown;
}

/** The schema of the control call. */
export const serviceControlSchema = z.strictObject({
  faults: z
    .partialRecord(z.enum([EVERY_AREA, 'records', 'stock']), faultSchema)
    .optional(),
});

export type ServiceControl = z.output<typeof serviceControlSchema>;

const DEFAULT_RESOURCE = 'bookings';
const STOCK_COUNT_PER_ITEM = 3;

/** Each POST that takes effect creates a record, even a repeated one. */
export class ServiceStandIn extends StandInServer {
  readonly records: ServiceRecord[] = [];
  private readonly resource: string;
  private running = 0;

  constructor(options: ServiceStandInOptions = {}) {
    super(options);
    this.resource = options.resource ?? DEFAULT_RESOURCE;
    this.server.use((request, response, next) => {
      this.running += 1;
      response.once('close', () => (this.running -= 1));
      const requestId = headerOf(request, 'x-request-id');
      if (requestId !== undefined) {
        response.setHeader('X-Request-Id', requestId);
      }
      next();
    });
    this.serveRecords();
    this.serve({
      method: 'get',
      path: '/stock/:item',
      area: 'stock',
      run: ({request}) => {
        const item = String(request.params.item);
        return {status: 200, body: {item, inStock: STOCK_COUNT_PER_ITEM}};
      },
    });
    this.serve({
      method: 'get',
      path: '/load',
      area: 'load',
      run: () => ({status: 200, body: {running: this.running}}),
    });
  }

  /**
   * Returns contents that were recorded more than once, one entry for each
   * repeat. If its caller sent such a content only once, the router is at fault.
   *
   * @example
   * t.deepEqual(service.doubles(), []);
   */
  doubles(): unknown[] {
    const seen = new Set<string>();
    return this.records
      .map(record => record.content)
      .filter(content => {
        const text = JSON.stringify(content);
        const again = seen.has(text);
        seen.add(text);
        return again;
      });
  }

  /**
   * Sets faults.
   *
   * @example
   * service.control({faults: {records: {mode: 'lose_answer', count: 1}}});
   */
  control(command: ServiceControl): void {
    for (const [area, fault] of Object.entries(command.faults ?? {})) {
      this.faults.set(area, fault);
    }
  }

  protected override applyControl(command: unknown): void {
    this.control(serviceControlSchema.parse(command));
  }

  protected override report(): object {
    return {records: this.records, doubles: this.doubles()};
  }

  private serveRecords(): void {
    const place = {path: `/${this.resource}`, area: 'records'};
    this.serve({
      ...place,
      method: 'post',
      run: ({request, body}) => this.record(request, parseJson(body)),
    });
    this.serve({
      ...place,
      method: 'get',
      run: () => ({status: 200, body: {[this.resource]: this.records}}),
    });
  }

  private record(request: Request, content: unknown): Answer {
    const id = `${this.resource}-${this.records.length + 1}`;
    const requestId = headerOf(request, 'x-request-id');
    const record = {id, requestId, content};
    this.records.push(record);
    return {status: 201, body: record};
  }
}
