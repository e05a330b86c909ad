/** Records which software version a stream belongs to. */

import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {ABSENT} from '@snipestage/types/store_version.js';
import type {Row} from '@snipestage/types/table.js';
import {CallPace} from './call_pace.js';
import {
  MAX_RECORDS,
  RecordBatcher,
  type RecordResult,
  type StreamRecord,
} from './record_batcher.js';
import {
  decodeOrigin,
  streamRowKey,
  type RecordedOrigin,
  type StreamKey,
} from './stream_rows.js';

/** Options of {@link StreamRecorder}. */
export interface StreamRecorderOptions {
  readonly platform: Platform;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly countInstances: () => number | undefined;
  /** How long a caller may come back for its stream. */
  readonly keepMs: number;
  /**
   * Writes rows that don't exist yet in transactions with those of other
   * instances; undefined where nobody does so for this one (never).
   *
   * @returns for each record whether it is known to be in the store.
   */
  readonly relayRecords?: (
    records: readonly StreamRecord[],
  ) => Promise<readonly boolean[] | undefined>;
}

interface PendingRecord extends StreamRecord {
  readonly addedAtMs: number;
}

/** Keeps the transactions of all instances far below the store's limit. */
const INTERVAL_PER_INSTANCE_MS = 16;
const MIN_INTERVAL_MS = 20;
/** Transactions of all instances that may follow one another at once. */
const BURST_OF_ALL = 240;
const MAX_BURST = 4;
const MAX_CALLS = 4;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 1000;
/** With more waiting than this, the oldest are given up. */
const MAX_PENDING = 20_000;
const REMOVE_EVERY_MS = 30_000;
/** Removals take calls of their own. */
const MIN_REMOVAL_INTERVAL_MS = 5000;
const MAX_REMOVALS = 90;
/** Streams may end, or their instance, before a record that takes longer. */
const LATE_AFTER_MS = 100;

/**
 * Hands records to a relay, which writes those of many instances together, and
 * writes itself what no relay takes. The row of another request is never replaced
 * by another version, but marked as ambiguous.
 */
export class StreamRecorder {
  private readonly pending = new Map<StreamKey, PendingRecord>();
  private readonly inFlight = new Set<PendingRecord>();
  /** Called when the record of a key is in the store. */
  private readonly waiters = new Map<StreamKey, Array<() => void>>();
  /** Rows written here, oldest first, with the time at which to remove them. */
  private readonly written: Array<{key: StreamKey; removeAtMs: number}> = [];
  private readonly direct: RecordBatcher;
  private calls = 0;
  private failures = 0;
  private isStopped = false;
  private isRemoving = false;
  private removedAtMs = Number.NEGATIVE_INFINITY;
  private retry: NodeJS.Timeout | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: StreamRecorderOptions) {
    const {platform, nowMs} = options;
    const pace = new CallPace({
      nowMs,
      intervalMs: () =>
        Math.max(MIN_INTERVAL_MS, this.instances * INTERVAL_PER_INSTANCE_MS),
      burst: () =>
        Math.max(1, Math.min(MAX_BURST, BURST_OF_ALL / this.instances)),
    });
    this.direct = new RecordBatcher({platform, pace});
  }

  start(): void {
    this.timer = setInterval(() => void this.removeExpired(), REMOVE_EVERY_MS);
    this.timer.unref();
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    clearTimeout(this.retry);
  }

  /** Number of records that aren't known to be in the store. */
  get waiting(): number {
    return this.pending.size;
  }

  add(key: StreamKey, recorded: RecordedOrigin): void {
    const addedAtMs = this.options.nowMs();
    this.enqueue({key, recorded, replaces: ABSENT, addedAtMs});
    if (this.pending.size > MAX_PENDING) {
      const [oldest] = this.pending.keys();
      this.pending.delete(oldest);
    }
    // Records of one turn of the event loop share a call.
    queueMicrotask(() => this.writePending());
  }

  /**
   * Resolves when the latest record of a stream is in the store.
   *
   * @example
   * await recorder.whenWritten(key);
   */
  async whenWritten(key: StreamKey): Promise<void> {
    if (!this.pending.has(key)) return;
    await new Promise<void>(done => {
      this.waiters.set(key, [...(this.waiters.get(key) ?? []), done]);
    });
  }

  private get instances(): number {
    return this.options.countInstances() ?? 1;
  }

  /** The newest records are at the end. */
  private enqueue(record: PendingRecord): void {
    this.pending.delete(record.key);
    this.pending.set(record.key, record);
  }

  private writePending(): void {
    if (this.isStopped || this.retry !== undefined) return;
    while (this.calls < MAX_CALLS) {
      const batch = [...this.pending.values()]
        .filter(each => !this.inFlight.has(each))
        .slice(-MAX_RECORDS);
      if (batch.length === 0) return;
      void this.writeBatch(batch);
    }
  }

  private async writeBatch(batch: readonly PendingRecord[]): Promise<void> {
    this.calls += 1;
    for (const each of batch) this.inFlight.add(each);
    const results = await this.write(batch);
    this.calls -= 1;
    for (const [index, record] of batch.entries()) {
      this.inFlight.delete(record);
      this.settle(record, results[index]);
    }
    this.logLate(batch);
    this.noteResults(results);
    this.writePending();
    const sinceMs = this.options.nowMs() - this.removedAtMs;
    if (sinceMs >= MIN_REMOVAL_INTERVAL_MS) await this.removeExpired();
  }

  private async write(
    batch: readonly PendingRecord[],
  ): Promise<readonly RecordResult[]> {
    const {relayRecords} = this.options;
    const isRelayable = batch.every(({replaces}) => replaces === ABSENT);
    const areWritten = isRelayable ? await relayRecords?.(batch) : undefined;
    const isLeft = (_: PendingRecord, index: number) =>
      areWritten?.[index] !== true;
    const left = batch.filter(isLeft);
    if (left.length === 0) return batch.map(() => ({kind: 'written'}));
    const results = await this.direct.write(left);
    const resultOf = new Map(left.map((each, index) => [each, results[index]]));
    return batch.map(each => resultOf.get(each) ?? {kind: 'written'});
  }

  private settle(record: PendingRecord, result: RecordResult): void {
    // A later record of the stream is written by itself.
    const isLatest = this.pending.get(record.key) === record;
    if (result.kind === 'unknown') return;
    if (result.kind === 'written') this.noteWritten(record, isLatest);
    else if (isLatest) this.settleConflict(record, result.row);
  }

  /** A row of another request is ambiguous, or becomes it. */
  private settleConflict(record: PendingRecord, row: Row): void {
    const found = decodeOrigin(row.value);
    if (found?.kind === 'ambiguous') this.noteWritten(record, true);
    else this.enqueue({...record, ...replacementFor(record, row)});
  }

  private noteWritten({key}: PendingRecord, isLatest: boolean): void {
    const removeAtMs = this.options.nowMs() + this.options.keepMs;
    this.written.push({key, removeAtMs});
    if (!isLatest) return;
    this.pending.delete(key);
    for (const done of this.waiters.get(key) ?? []) done();
    this.waiters.delete(key);
  }

  private noteResults(results: readonly RecordResult[]): void {
    const failed = results.find(({kind}) => kind === 'unknown');
    if (failed?.kind !== 'unknown') {
      this.failures = 0;
      return;
    }
    this.failures += 1;
    if (this.failures === 1) {
      const {reason} = failed;
      const {waiting} = this;
      this.options.logger.warn('stream_records_delayed', {reason, waiting});
    }
    this.retryLater();
  }

  private retryLater(): void {
    if (this.retry !== undefined || this.isStopped) return;
    const delayMs = FIRST_RETRY_MS * 2 ** (this.failures - 1);
    this.retry = setTimeout(
      () => {
        this.retry = undefined;
        this.writePending();
      },
      Math.min(MAX_RETRY_MS, delayMs),
    );
    this.retry.unref();
  }

  /** Rows that aren't removed now are removed later. */
  private async removeExpired(): Promise<void> {
    const nowMs = this.options.nowMs();
    const end = this.written.findIndex(({removeAtMs}) => removeAtMs > nowMs);
    const count = end < 0 ? this.written.length : end;
    const expired = this.written.slice(0, Math.min(count, MAX_REMOVALS));
    if (expired.length === 0 || this.isRemoving || this.isStopped) return;
    this.isRemoving = true;
    this.removedAtMs = nowMs;
    const keys = new Set(expired.map(({key}) => streamRowKey(key)));
    const writes = [...keys].map(key => ({key, value: null}));
    const result = await this.options.platform.transact({checks: [], writes});
    this.isRemoving = false;
    if (result.kind === 'committed') this.written.splice(0, expired.length);
  }

  private logLate(batch: readonly PendingRecord[]): void {
    const nowMs = this.options.nowMs();
    const delaysMs = batch
      .filter(({key}) => !this.pending.has(key))
      .map(({addedAtMs}) => nowMs - addedAtMs);
    const late = delaysMs.filter(delayMs => delayMs >= LATE_AFTER_MS);
    if (late.length === 0) return;
    this.options.logger.info('stream_records_late', {
      records: batch.length,
      late: late.length,
      longestMs: Math.round(Math.max(...late)),
    });
  }
}

/** A row that was removed meanwhile is written as if it had never been. */
function replacementFor(
  {recorded}: StreamRecord,
  {value, version}: Row,
): Pick<StreamRecord, 'recorded' | 'replaces'> {
  if (value === null) return {recorded, replaces: ABSENT};
  return isOfSameRun(decodeOrigin(value), recorded)
    ? {recorded, replaces: version}
    : {recorded: {kind: 'ambiguous'}, replaces: version};
}

/** The request has gone to another version before its first event. */
function isOfSameRun(
  found: RecordedOrigin | undefined,
  recorded: RecordedOrigin,
): boolean {
  if (found?.kind !== 'origin' || recorded.kind !== 'origin') return false;
  return found.run !== undefined && found.run === recorded.run;
}
