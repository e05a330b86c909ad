/** Writes records of streams to the store, many in one transaction. */

import type {Platform} from '@snipestage/platform/platform.js';
import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import type {Row, TransactionResult} from '@snipestage/types/table.js';
import type {CallPace} from './call_pace.js';
import {
  decodeOrigin,
  encodeOrigin,
  isSameOrigin,
  streamRowKey,
  type RecordedOrigin,
  type StreamKey,
} from './stream_rows.js';

/** The record of a stream, and the version of the row that it replaces. */
export interface StreamRecord {
  readonly key: StreamKey;
  readonly recorded: RecordedOrigin;
  readonly replaces: StoreVersion;
}

/**
 * What became of a record: `written` also if the row has that value already,
 * `conflict` with another row, or `unknown` whether it was written.
 */
export type RecordResult =
  | {readonly kind: 'written'}
  | {readonly kind: 'conflict'; readonly row: Row}
  | {readonly kind: 'unknown'; readonly reason: string};

/** Options of {@link RecordBatcher}. */
export interface RecordBatcherOptions {
  readonly platform: Platform;
  readonly pace: CallPace;
}

interface QueuedRecord {
  readonly record: StreamRecord;
  readonly done: (result: RecordResult) => void;
}

type Conflict = Extract<TransactionResult, {kind: 'conflict'}>;

/** The store takes 100 entries; each record is a condition and a write. */
export const MAX_RECORDS = 45;
const WRITTEN: RecordResult = {kind: 'written'};

/**
 * One transaction at a time. Records that come meanwhile share the next one, the
 * newest first: the streams of older ones are more likely to have ended.
 */
export class RecordBatcher {
  private queued: QueuedRecord[] = [];
  private isWriting = false;

  constructor(private readonly options: RecordBatcherOptions) {}

  /**
   * Never rejects. A row is written only if it is still the one that the record
   * replaces.
   *
   * @returns a result for each record.
   * @example
   * const [result] = await batcher.write([{key, recorded, replaces: ABSENT}]);
   */
  write(records: readonly StreamRecord[]): Promise<readonly RecordResult[]> {
    const results = records.map(
      record =>
        new Promise<RecordResult>(done => this.queued.push({record, done})),
    );
    void this.writeQueued();
    return Promise.all(results);
  }

  private async writeQueued(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    try {
      while (this.queued.length > 0) {
        const waitMs = this.options.pace.take();
        if (waitMs > 0) await pause(waitMs);
        await this.writeBatch(this.takeBatch());
      }
    } finally {
      this.isWriting = false;
    }
  }

  /** Takes one record of a key at a time: the next must see its row. */
  private takeBatch(): readonly QueuedRecord[] {
    const taken = new Map<StreamKey, QueuedRecord>();
    const left: QueuedRecord[] = [];
    for (const each of this.queued.reverse()) {
      const isTaken = taken.has(each.record.key) || taken.size >= MAX_RECORDS;
      if (isTaken) left.push(each);
      else taken.set(each.record.key, each);
    }
    this.queued = left.reverse();
    return [...taken.values()];
  }

  private async writeBatch(batch: readonly QueuedRecord[]): Promise<void> {
    const result = await this.transact(batch);
    if (result.kind !== 'conflict') {
      settle(batch, result);
      return;
    }
    const rest = settleConflicts(batch, result);
    if (rest.length === 0) return;
    const again = await this.transact(rest);
    settle(rest, again);
  }

  private transact(batch: readonly QueuedRecord[]): Promise<TransactionResult> {
    const records = batch.map(({record}) => record);
    return this.options.platform.transact({
      checks: records.map(({key, replaces}) => ({
        key: streamRowKey(key),
        version: replaces,
      })),
      writes: records.map(({key, recorded}) => ({
        key: streamRowKey(key),
        value: encodeOrigin(recorded),
      })),
    });
  }
}

function settle(
  batch: readonly QueuedRecord[],
  result: TransactionResult,
): void {
  const outcome: RecordResult =
    result.kind === 'committed'
      ? WRITTEN
      : {
          kind: 'unknown',
          reason: result.kind === 'unknown' ? result.reason : 'conflict',
        };
  for (const {done} of batch) done(outcome);
}

/** @returns the records whose conditions hold. */
function settleConflicts(
  batch: readonly QueuedRecord[],
  {rows}: Conflict,
): readonly QueuedRecord[] {
  const rowOf = new Map(rows.map(row => [row.key, row]));
  return batch.filter(({record, done}) => {
    const row = rowOf.get(streamRowKey(record.key));
    if (row === undefined || holds(record, row)) return true;
    const isThere = isSameOrigin(decodeOrigin(row.value), record.recorded);
    done(isThere ? WRITTEN : {kind: 'conflict', row});
    return false;
  });
}

function holds({replaces}: StreamRecord, row: Row): boolean {
  return replaces === ABSENT ? row.value === null : row.version === replaces;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms).unref());
}
