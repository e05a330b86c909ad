/** A platform in memory whose answers tests can lose. */

import {
  Platform,
  type ListResult,
  type ObjectResult,
  type PutResult,
  type SendGuard,
} from '@snipestage/platform/platform.js';
import type {
  EndpointOrder,
  OrderResult,
  ReportResult,
  UsageReport,
} from '@snipestage/types/platform_messages.js';
import type {
  ReadResult,
  Row,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';

export class MemoryPlatform extends Platform {
  readonly rows = new Map<string, Row>();
  readonly reports: UsageReport[] = [];
  readonly orders: EndpointOrder[] = [];
  /** Answers of the next calls, in place of the true ones. */
  readonly losses: Array<'lose_answer' | 'away'> = [];
  /** Results of the next calls of the provider. */
  readonly refusals: OrderResult[] = [];
  private version = 0;

  readRows(keys: readonly string[]): Promise<ReadResult> {
    return this.read(key => keys.includes(key));
  }

  scanRows(prefix: string): Promise<ReadResult> {
    return this.read(key => key.startsWith(prefix));
  }

  transact({checks, writes}: TableTransaction): Promise<TransactionResult> {
    const loss = this.losses.shift();
    const unknown = {kind: 'unknown', reason: 'lost'} as const;
    if (loss === 'away') return Promise.resolve(unknown);
    const failed = checks.filter(
      ({key, version}) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      const rows = failed.flatMap(({key}) => this.rows.get(key) ?? []);
      return Promise.resolve({kind: 'conflict', rows});
    }
    this.version += 1;
    const {version} = this;
    for (const {key, value} of writes)
      this.rows.set(key, {key, version, value});
    if (loss === 'lose_answer') return Promise.resolve(unknown);
    const versions = writes.map(({key}) => [key, version]);
    return Promise.resolve({
      kind: 'committed',
      versions: Object.fromEntries(versions),
    });
  }

  getObject(): Promise<ObjectResult> {
    return Promise.resolve({kind: 'absent'});
  }

  putObject(): Promise<PutResult> {
    return Promise.resolve({kind: 'stored'});
  }

  orderEndpoints(order: EndpointOrder, guard: SendGuard): Promise<OrderResult> {
    return this.provide(guard, () => this.orders.push(order));
  }

  reportUsage(report: UsageReport, guard: SendGuard): Promise<ReportResult> {
    return this.provide(guard, () => this.reports.push(report));
  }

  listInstances(): Promise<ListResult<never>> {
    return Promise.resolve({kind: 'listed', items: []});
  }

  listEndpoints(): Promise<ListResult<never>> {
    return Promise.resolve({kind: 'listed', items: []});
  }

  private read(matches: (key: string) => boolean): Promise<ReadResult> {
    if (this.losses.shift() !== undefined) {
      return Promise.resolve({kind: 'unavailable', reason: 'away'});
    }
    const rows = [...this.rows.values()].filter(({key}) => matches(key));
    return Promise.resolve({kind: 'rows', rows});
  }

  private provide(guard: SendGuard, take: () => void): Promise<OrderResult> {
    if (!guard.mayStillSend()) {
      return Promise.resolve({kind: 'not_sent', reason: 'the lease has ended'});
    }
    const refusal = this.refusals.shift();
    if (refusal?.kind !== 'refused' && refusal?.kind !== 'not_sent') take();
    return Promise.resolve(refusal ?? {kind: 'accepted'});
  }
}
