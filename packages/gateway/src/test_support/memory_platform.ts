/** An in-memory platform whose answers tests can lose. */

import {
  ABSENT,
  composeStoreVersion,
  numberOf,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
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
  RowCheck,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';

/** Content of the platform's tables at one moment. */
export interface StoredCopy {
  readonly rows: ReadonlyMap<string, Row>;
  readonly number: number;
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
  /** Whether no call to tables has an effect or an answer. */
  isAway = false;
  private era = 0;
  /** Counter of the transactions in this era. */
  private number = 0;

  /** Goes back to what was stored earlier; a new era begins. */
  setBack({rows, number}: StoredCopy): void {
    this.era += 1;
    this.number = number;
    this.rows.clear();
    for (const [key, row] of rows) {
      const version = this.versionOf(numberOf(row.version));
      this.rows.set(key, {...row, version});
    }
  }

  copy(): StoredCopy {
    return {rows: new Map(this.rows), number: this.number};
  }

  private versionOf(number: number): StoreVersion {
    return composeStoreVersion({era: this.era, number});
  }

  private find(key: string): Row {
    return this.rows.get(key) ?? {key, version: this.versionOf(0), value: null};
  }

  readRows(keys: readonly string[]): Promise<ReadResult> {
    return this.read(() => keys.map(key => this.find(key)));
  }

  scanRows(prefix: string): Promise<ReadResult> {
    return this.read(() =>
      [...this.rows.values()].filter(({key}) => key.startsWith(prefix)),
    );
  }

  transact({checks, writes}: TableTransaction): Promise<TransactionResult> {
    const fault = this.nextFaults.shift();
    const unknown = {kind: 'unknown', reason: 'lost'} as const;
    if (this.isAway || fault === 'away') return Promise.resolve(unknown);
    const failed = checks.filter(check => !this.holds(check));
    if (failed.length > 0) {
      const rows = failed.map(({key}) => this.find(key));
      return Promise.resolve({kind: 'conflict', rows});
    }
    this.number += 1;
    const version = this.versionOf(this.number);
    for (const {key, value} of writes) {
      if (value === null) this.rows.delete(key);
      else this.rows.set(key, {key, version, value});
    }
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

  /** A row that must not exist may be absent in any era. */
  private holds({key, version}: RowCheck): boolean {
    const row = this.find(key);
    return version === ABSENT ? row.value === null : row.version === version;
  }

  private read(find: () => readonly Row[]): Promise<ReadResult> {
    if (this.nextFaults.shift() !== undefined || this.isAway) {
      return Promise.resolve({kind: 'unavailable', reason: 'away'});
    }
    return Promise.resolve({kind: 'rows', rows: find()});
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
