/** An in-memory platform whose answers tests can lose. */

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

/** Content of the platform's tables at one moment. */
export interface StoredCopy {
  readonly rows: ReadonlyMap<string, Row>;
  readonly version: number;
}

export class MemoryPlatform extends Platform {
  readonly rows = new Map<string, Row>();
  readonly reports: UsageReport[] = [];
  readonly orders: EndpointOrder[] = [];
  /**
   * Faults of the next calls to tables: `away` has no effect and no answer,
   * `lose_answer` commits a transaction without an answer. Reads fail with
   * either.
   */
  readonly nextFaults: Array<'lose_answer' | 'away'> = [];
  /** Results of the next orders and reports, instead of acceptance. */
  readonly refusals: OrderResult[] = [];
  private version = 0;

  /** Goes back to what was stored at an earlier version. */
  setBack({rows, version}: StoredCopy): void {
    this.rows.clear();
    for (const [key, row] of rows) this.rows.set(key, row);
    this.version = version;
  }

  copy(): StoredCopy {
    return {rows: new Map(this.rows), version: this.version};
  }

  readRows(keys: readonly string[]): Promise<ReadResult> {
    return this.read(key => keys.includes(key));
  }

  scanRows(prefix: string): Promise<ReadResult> {
    return this.read(key => key.startsWith(prefix));
  }

  transact({checks, writes}: TableTransaction): Promise<TransactionResult> {
    const fault = this.nextFaults.shift();
    const unknown = {kind: 'unknown', reason: 'lost'} as const;
    if (fault === 'away') return Promise.resolve(unknown);
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
    if (fault === 'lose_answer') return Promise.resolve(unknown);
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
    return this.callProvider(guard, () => this.orders.push(order));
  }

  reportUsage(report: UsageReport, guard: SendGuard): Promise<ReportResult> {
    return this.callProvider(guard, () => this.reports.push(report));
  }

  listInstances(): Promise<ListResult<never>> {
    return Promise.resolve({kind: 'listed', items: []});
  }

  listEndpoints(): Promise<ListResult<never>> {
    return Promise.resolve({kind: 'listed', items: []});
  }

  private read(matches: (key: string) => boolean): Promise<ReadResult> {
    if (this.nextFaults.shift() !== undefined) {
      return Promise.resolve({kind: 'unavailable', reason: 'away'});
    }
    const rows = [...this.rows.values()].filter(({key}) => matches(key));
    return Promise.resolve({kind: 'rows', rows});
  }

  private callProvider(
    guard: SendGuard,
    onReceived: () => void,
  ): Promise<OrderResult> {
    if (!guard.mayStillSend()) {
      return Promise.resolve({kind: 'not_sent', reason: 'the lease has ended'});
    }
    const refusal = this.refusals.shift();
    if (refusal?.kind !== 'refused' && refusal?.kind !== 'not_sent')
      onReceived();
    return Promise.resolve(refusal ?? {kind: 'accepted'});
  }
}
