/** Client of the platform's HTTP interface, described in docs/INTERFACES.md. */

import {FreshConnection} from '@snipestage/connection/fresh_connection.js';
import type {
  EndpointOrder,
  ListedEndpoint,
  ListedInstance,
  OrderResult,
  ReportResult,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {
  ReadResult,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';
import {got, type Got, type Response} from 'got';
import {
  Platform,
  type ListResult,
  type ObjectResult,
  type PutResult,
  type SendGuard,
} from './platform.js';
import {
  conflictSchema,
  listedEndpointsSchema,
  listedInstancesSchema,
  rowsSchema,
  versionsSchema,
} from './wire_schemas.js';

const DEFAULT_TIMEOUT_MS = 2000;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const UNPROCESSABLE = 422;

/** Address, token and timeout of the platform. */
export interface HttpPlatformOptions {
  readonly url: string;
  readonly token: string;
  readonly timeoutMs?: number;
}

/** Result of one call: an answer, or the reason why there is none. */
type Exchange =
  | {readonly kind: 'answered'; readonly status: number; readonly body: Buffer}
  | {readonly kind: 'no_answer'; readonly reason: string};

/**
 * Calls the platform with `got`, whose own retries are off: the protocols above
 * decide whether a call whose answer was lost may be repeated.
 *
 * @example
 * const platform = new HttpPlatform({url: 'http://127.0.0.1:9000', token});
 * const result = await platform.readRows(['head']);
 */
export class HttpPlatform extends Platform {
  private readonly client: Got;
  private readonly timeoutMs: number;

  constructor(private readonly options: HttpPlatformOptions) {
    super();
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.client = got.extend({
      prefixUrl: options.url,
      headers: {authorization: `Bearer ${options.token}`},
      retry: {limit: 0},
      timeout: {request: this.timeoutMs},
      throwHttpErrors: false,
      responseType: 'buffer',
    });
  }

  async readRows(keys: readonly string[]): Promise<ReadResult> {
    return this.rows('v1/table/read', {keys});
  }

  async scanRows(prefix: string): Promise<ReadResult> {
    return this.rows('v1/table/scan', {prefix});
  }

  async transact(transaction: TableTransaction): Promise<TransactionResult> {
    const exchange = await this.post('v1/table/transact', transaction);
    if (exchange.kind === 'no_answer') {
      return {kind: 'unknown', reason: exchange.reason};
    }
    if (exchange.status === OK) {
      const parsed = versionsSchema.safeParse(parseJson(exchange.body));
      if (parsed.success) {
        return {kind: 'committed', versions: parsed.data.versions};
      }
    }
    if (exchange.status === CONFLICT) {
      const parsed = conflictSchema.safeParse(parseJson(exchange.body));
      if (parsed.success) return {kind: 'conflict', rows: parsed.data.rows};
    }
    return {kind: 'unknown', reason: describe(exchange)};
  }

  async getObject(key: string): Promise<ObjectResult> {
    const exchange = await this.exchange(() =>
      this.client.get(objectPath(key)),
    );
    if (exchange.kind === 'no_answer') {
      return {kind: 'unavailable', reason: exchange.reason};
    }
    if (exchange.status === OK) return {kind: 'found', body: exchange.body};
    if (exchange.status === NOT_FOUND) return {kind: 'absent'};
    return {kind: 'unavailable', reason: describe(exchange)};
  }

  async putObject(key: string, body: Buffer): Promise<PutResult> {
    const exchange = await this.exchange(() =>
      this.client.put(objectPath(key), {body}),
    );
    if (exchange.kind === 'answered' && exchange.status === OK) {
      return {kind: 'stored'};
    }
    return {kind: 'unknown', reason: describe(exchange)};
  }

  async orderEndpoints(
    order: EndpointOrder,
    guard: SendGuard,
  ): Promise<OrderResult> {
    return this.guardedPost('v1/endpoint-orders', order, guard);
  }

  async reportUsage(
    report: UsageReport,
    guard: SendGuard,
  ): Promise<ReportResult> {
    return this.guardedPost('v1/usage-reports', report, guard);
  }

  async listInstances(): Promise<ListResult<ListedInstance>> {
    const exchange = await this.exchange(() => this.client.get('v1/instances'));
    if (exchange.kind === 'answered' && exchange.status === OK) {
      const parsed = listedInstancesSchema.safeParse(parseJson(exchange.body));
      if (parsed.success) {
        return {kind: 'listed', items: parsed.data.items as ListedInstance[]};
      }
    }
    return {kind: 'unavailable', reason: describe(exchange)};
  }

  async listEndpoints(): Promise<ListResult<ListedEndpoint>> {
    const exchange = await this.exchange(() => this.client.get('v1/endpoints'));
    if (exchange.kind === 'answered' && exchange.status === OK) {
      const parsed = listedEndpointsSchema.safeParse(parseJson(exchange.body));
      if (parsed.success) {
        return {kind: 'listed', items: parsed.data.items as ListedEndpoint[]};
      }
    }
    return {kind: 'unavailable', reason: describe(exchange)};
  }

  private async rows(path: string, body: object): Promise<ReadResult> {
    const exchange = await this.post(path, body);
    if (exchange.kind === 'answered' && exchange.status === OK) {
      const parsed = rowsSchema.safeParse(parseJson(exchange.body));
      if (parsed.success) return {kind: 'rows', rows: parsed.data.rows};
    }
    return {kind: 'unavailable', reason: describe(exchange)};
  }

  private post(path: string, json: object): Promise<Exchange> {
    return this.exchange(() => this.client.post(path, {json}));
  }

  /**
   * Sends over a connection opened beforehand, so that the guard is checked at
   * the moment of sending and an abort resets the connection.
   */
  private async guardedPost(
    path: string,
    json: object,
    guard: SendGuard,
  ): Promise<OrderResult> {
    const url = new URL(this.options.url);
    const connection = await FreshConnection.open({
      host: url.hostname,
      port: Number(url.port),
      connectTimeoutMs: this.timeoutMs,
      mayStillSend: guard.mayStillSend,
      signal: guard.signal,
    });
    if (connection.kind === 'failed') {
      return {kind: 'not_sent', reason: connection.reason};
    }
    const exchange = await this.exchange(() =>
      this.client.post(path, {
        json,
        createConnection: connection.createConnection,
      }),
    );
    if (connection.verdict === 'not_run') {
      return {kind: 'not_sent', reason: 'the lease has ended'};
    }
    if (exchange.kind === 'answered' && exchange.status === OK) {
      return {kind: 'accepted'};
    }
    if (exchange.kind === 'answered' && isRefusal(exchange.status)) {
      return {kind: 'refused', reason: describe(exchange)};
    }
    return {kind: 'unknown', reason: describe(exchange)};
  }

  private async exchange(
    call: () => Promise<Response<Buffer> | Response<string>>,
  ): Promise<Exchange> {
    try {
      const response = await call();
      return {
        kind: 'answered',
        status: response.statusCode,
        body: response.rawBody,
      };
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return {kind: 'no_answer', reason};
    }
  }
}

function isRefusal(status: number): boolean {
  return status === CONFLICT || status === UNPROCESSABLE;
}

function describe(exchange: Exchange): string {
  if (exchange.kind === 'no_answer') return exchange.reason;
  return `status ${exchange.status}`;
}

function objectPath(key: string): string {
  return `v1/objects/${encodeURIComponent(key)}`;
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
