/** Takes the platform's place: table, objects, orders, reports and lists. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  EndpointOrder,
  ListedEndpoint,
  ListedInstance,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {TableTransaction} from '@snipestage/types/table.js';
import type {Next, Request} from 'restify';
import {headerOf, readBody, readJson, sendJson} from '../http/exchange.js';
import {StandInServer, type ListenOptions} from '../http/stand_in_server.js';
import {Table} from './table.js';

/** How a platform stand-in starts. */
export interface PlatformStandInOptions extends ListenOptions {
  readonly token?: string;
  readonly instances?: readonly ListedInstance[];
  readonly endpoints?: readonly ListedEndpoint[];
}

export const DEFAULT_PLATFORM_TOKEN = 'stand-in-platform-token';

/** Keeps everything in memory; a new one is empty. */
export class PlatformStandIn extends StandInServer {
  readonly token: string;
  readonly table = new Table();
  readonly objects = new Map<string, Buffer>();
  instances: ListedInstance[];
  endpoints: ListedEndpoint[];
  private readonly orders = new Map<string, EndpointOrder>();
  private readonly reports = new Map<string, UsageReport>();

  constructor(options: PlatformStandInOptions = {}) {
    super(options);
    this.token = options.token ?? DEFAULT_PLATFORM_TOKEN;
    this.instances = [...(options.instances ?? [])];
    this.endpoints = [...(options.endpoints ?? [])];
    this.server.use((request, response, next) => {
      this.authorize(request, response, next);
    });
    this.serveTable();
    this.serveObjects();
    this.serveOrders();
    this.serveReports();
    this.serveLists();
  }

  private authorize(
    request: Request,
    response: ServerResponse,
    next: Next,
  ): void {
    if (headerOf(request, 'authorization') === `Bearer ${this.token}`) {
      next();
      return;
    }
    sendJson(response, 401, {reason: 'The platform token is wrong.'});
    next(false);
  }

  private serveTable(): void {
    this.server.post('/v1/table/read', async (request, response) => {
      const {keys} = await readJson<{keys: string[]}>(request);
      sendJson(response, 200, {rows: this.table.read(keys)});
    });
    this.server.post('/v1/table/scan', async (request, response) => {
      const {prefix} = await readJson<{prefix: string}>(request);
      sendJson(response, 200, {rows: this.table.scan(prefix)});
    });
    this.server.post('/v1/table/transact', async (request, response) => {
      const transaction = await readJson<TableTransaction>(request);
      const outcome = this.table.transact(transaction);
      if (outcome.kind === 'committed') {
        sendJson(response, 200, {versions: outcome.versions});
      } else {
        sendJson(response, 409, {rows: outcome.rows});
      }
    });
  }

  private serveObjects(): void {
    this.server.get('/v1/objects/*', async (request, response) => {
      const body = this.objects.get(objectKeyOf(request));
      if (body === undefined) {
        sendJson(response, 404, {reason: 'There is no such object.'});
        return;
      }
      response.writeHead(200, {'Content-Type': 'application/octet-stream'});
      response.end(body);
    });
    this.server.put('/v1/objects/*', async (request, response) => {
      this.objects.set(objectKeyOf(request), await readBody(request));
      sendJson(response, 200, {});
    });
  }

  private serveOrders(): void {
    this.server.post('/v1/endpoint-orders', async (request, response) => {
      const order = await readJson<EndpointOrder>(request);
      if (!this.orders.has(order.id)) this.orders.set(order.id, order);
      sendJson(response, 200, {});
    });
  }

  private serveReports(): void {
    this.server.post('/v1/usage-reports', async (request, response) => {
      const report = await readJson<UsageReport>(request);
      const earlier = this.reports.get(report.window);
      if (earlier === undefined) this.reports.set(report.window, report);
      const differs =
        earlier !== undefined &&
        JSON.stringify(earlier) !== JSON.stringify(report);
      if (differs) {
        const reason = `Window ${report.window} was reported otherwise.`;
        sendJson(response, 409, {reason});
      } else {
        sendJson(response, 200, {});
      }
    });
  }

  private serveLists(): void {
    this.server.get('/v1/instances', async (_request, response) => {
      sendJson(response, 200, {items: this.instances});
    });
    this.server.get('/v1/endpoints', async (_request, response) => {
      sendJson(response, 200, {items: this.endpoints});
    });
  }
}

const OBJECTS_PATH = '/v1/objects/';

function objectKeyOf(request: IncomingMessage): string {
  const path = (request.url ?? '').split('?')[0];
  return decodeURIComponent(path.slice(OBJECTS_PATH.length));
}
