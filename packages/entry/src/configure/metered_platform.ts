/** Counts and times the calls of the platform. */

import type {Metrics} from '@snipestage/log/metrics.js';
import {
  Platform,
  type ListResult,
  type ObjectResult,
  type PutResult,
  type SendGuard,
} from '@snipestage/platform/platform.js';
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
import type {MonotonicClock} from '../clock.js';

/** Options of {@link MeteredPlatform}. */
export interface MeteredPlatformOptions {
  readonly platform: Platform;
  readonly metrics: Metrics;
  readonly clock: MonotonicClock;
}

/** Delegates to another platform and sends metrics of each call. */
export class MeteredPlatform extends Platform {
  constructor(private readonly options: MeteredPlatformOptions) {
    super();
  }

  readRows(keys: readonly string[]): Promise<ReadResult> {
    return this.measure('read', () => this.inner.readRows(keys));
  }

  scanRows(prefix: string): Promise<ReadResult> {
    return this.measure('scan', () => this.inner.scanRows(prefix));
  }

  transact(transaction: TableTransaction): Promise<TransactionResult> {
    return this.measure('transact', () => this.inner.transact(transaction));
  }

  getObject(key: string): Promise<ObjectResult> {
    return this.measure('get_object', () => this.inner.getObject(key));
  }

  putObject(key: string, body: Buffer): Promise<PutResult> {
    return this.measure('put_object', () => this.inner.putObject(key, body));
  }

  orderEndpoints(order: EndpointOrder, guard: SendGuard): Promise<OrderResult> {
    return this.measure('order_endpoints', () =>
      this.inner.orderEndpoints(order, guard),
    );
  }

  reportUsage(report: UsageReport, guard: SendGuard): Promise<ReportResult> {
    return this.measure('report_usage', () =>
      this.inner.reportUsage(report, guard),
    );
  }

  listInstances(): Promise<ListResult<ListedInstance>> {
    return this.measure('list_instances', () => this.inner.listInstances());
  }

  listEndpoints(): Promise<ListResult<ListedEndpoint>> {
    return this.measure('list_endpoints', () => this.inner.listEndpoints());
  }

  private get inner(): Platform {
    return this.options.platform;
  }

  private async measure<Result extends {readonly kind: string}>(
    call: string,
    run: () => Promise<Result>,
  ): Promise<Result> {
    const {metrics, clock} = this.options;
    const startedAtMs = clock();
    const result = await run();
    metrics.count('platform_calls', 1, {call, outcome: result.kind});
    metrics.timing('platform_call_ms', clock() - startedAtMs, {call});
    return result;
  }
}
