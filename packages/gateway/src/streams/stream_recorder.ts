/** Writes which software version has begun a stream. */

import {isDeepStrictEqual} from 'node:util';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {Row, RowWrite} from '@snipestage/types/table.js';
import {
  decodeOrigin,
  encodeOrigin,
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
}

interface PendingRecord {
  readonly recorded: RecordedOrigin;
  readonly addedAtMs: number;
  /** Version of the row that is replaced. */
  readonly replaces: StoreVersion;
}

/** Half of what the store accepts in one transaction is left for removals. */
const MAX_RECORDS = 45;
/** Keeps the transactions of all instances far below the store's limit. */
const PAUSE_PER_INSTANCE_MS = 16;
const MIN_PAUSE_MS = 20;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 1000;
/** With more waiting than this, the oldest are given up. */
const MAX_PENDING = 20_000;
const REMOVE_EVERY_MS = 30_000;
/** Streams may end, or their instance, before a record that takes longer. */
const LATE_AFTER_MS = 100;

/**
 * The first record of a while is written at once, those that follow in batches.
 * A record is written once: a row that exists is never replaced by another
 * version, but marked as ambiguous.
 */
export class StreamRecorder {
  private readonly pending = new Map<StreamKey, PendingRecord>();
  /** Rows written here, oldest first, with the time at which to remove them. */
  private readonly written: Array<{key: StreamKey; removeAtMs: number}> = [];
  private isWriting = false;
  private isStopped = false;
  private failures = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: StreamRecorderOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.write(), REMOVE_EVERY_MS);
    this.timer.unref();
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Number of records that aren't known to be in the store. */
  get waiting(): number {
    return this.pending.size;
  }

  add(key: StreamKey, recorded: RecordedOrigin): void {
    const addedAtMs = this.options.nowMs();
    this.pending.set(key, {recorded, replaces: ABSENT, addedAtMs});
    if (this.pending.size > MAX_PENDING) {
      const [oldest] = this.pending.keys();
      this.pending.delete(oldest);
    }
    void this.write();
  }

  private async write(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    try {
      while (!this.isStopped && this.hasWork()) {
        await this.writeBatch();
        await this.pause();
      }
    } finally {
      this.isWriting = false;
    }
  }

  private hasWork(): boolean {
    return this.pending.size > 0 || this.listExpired().length > 0;
  }

  private listExpired(): readonly StreamKey[] {
    const nowMs = this.options.nowMs();
    const end = this.written.findIndex(({removeAtMs}) => removeAtMs > nowMs);
    const count = end < 0 ? this.written.length : end;
    return this.written
      .slice(0, Math.min(count, MAX_RECORDS))
      .map(({key}) => key);
  }

  private async writeBatch(): Promise<void> {
    const batch = [...this.pending].slice(0, MAX_RECORDS);
    const expired = this.listExpired();
    const writes: RowWrite[] = [
      ...batch.map(([key, {recorded}]) => ({
        key: streamRowKey(key),
        value: encodeOrigin(recorded),
      })),
      ...expired.map(key => ({key: streamRowKey(key), value: null})),
    ];
    const checks = batch.map(([key, {replaces}]) => ({
      key: streamRowKey(key),
      version: replaces,
    }));
    const result = await this.options.platform.transact({checks, writes});
    this.failures = result.kind === 'unknown' ? this.failures + 1 : 0;
    if (result.kind === 'committed') {
      this.noteWritten(batch, expired.length);
      this.logLate(batch);
    } else if (result.kind === 'conflict') this.settle(batch, result.rows);
    else this.logFailure(result.reason);
  }

  private noteWritten(
    batch: ReadonlyArray<readonly [StreamKey, PendingRecord]>,
    removed: number,
  ): void {
    this.written.splice(0, removed);
    const removeAtMs = this.options.nowMs() + this.options.keepMs;
    for (const [key, record] of batch) {
      if (this.pending.get(key) === record) this.pending.delete(key);
      this.written.push({key, removeAtMs});
    }
  }

  /** A row that exists is from an earlier try of this write, or ambiguous. */
  private settle(
    batch: ReadonlyArray<readonly [StreamKey, PendingRecord]>,
    rows: readonly Row[],
  ): void {
    for (const [key, record] of batch) {
      const row = rows.find(each => each.key === streamRowKey(key));
      if (row === undefined) continue;
      const found = decodeOrigin(row.value);
      const isSettled =
        found?.kind === 'ambiguous' ||
        isDeepStrictEqual(found, record.recorded);
      if (isSettled) this.noteWritten([[key, record]], 0);
      else this.pending.set(key, replacementFor(record, row));
    }
  }

  private logLate(
    batch: ReadonlyArray<readonly [StreamKey, PendingRecord]>,
  ): void {
    const nowMs = this.options.nowMs();
    const delaysMs = batch.map(([, {addedAtMs}]) => nowMs - addedAtMs);
    const late = delaysMs.filter(delayMs => delayMs >= LATE_AFTER_MS);
    if (late.length === 0) return;
    this.options.logger.info('stream_records_late', {
      records: batch.length,
      late: late.length,
      longestMs: Math.round(Math.max(...late)),
    });
  }

  private logFailure(reason: string): void {
    if (this.failures > 1) return;
    const waiting = this.pending.size;
    this.options.logger.warn('stream_records_delayed', {reason, waiting});
  }

  private pause(): Promise<void> {
    const instances = this.options.countInstances() ?? 1;
    const paceMs = Math.max(MIN_PAUSE_MS, instances * PAUSE_PER_INSTANCE_MS);
    const retryMs =
      this.failures === 0 ? 0 : FIRST_RETRY_MS * 2 ** (this.failures - 1);
    const pauseMs = Math.max(paceMs, Math.min(MAX_RETRY_MS, retryMs));
    return new Promise(resolve => setTimeout(resolve, pauseMs).unref());
  }
}

/** A row that was removed meanwhile is written as if it had never been. */
function replacementFor(pending: PendingRecord, row: Row): PendingRecord {
  return row.value === null
    ? {...pending, replaces: ABSENT}
    : {...pending, recorded: {kind: 'ambiguous'}, replaces: row.version};
}
