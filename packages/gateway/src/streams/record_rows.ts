/** Rows in which instances hand over records of streams. */

import {ABSENT} from '@snipestage/types/store_version.js';
import {MAX_RECORDS, type StreamRecord} from './record_batcher.js';
import {
  decodeOrigin,
  encodeOrigin,
  readStreamKey,
  streamRowKey,
} from './stream_rows.js';

/** A row that doesn't exist yet. */
interface NewRow {
  readonly key: string;
  readonly value: unknown;
}

/**
 * @example
 * const rows = records.map(toRecordRow);
 */
export function toRecordRow({key, recorded}: StreamRecord): NewRow {
  return {key: streamRowKey(key), value: encodeOrigin(recorded)};
}

/**
 * Validates rows that another process has sent.
 *
 * @returns undefined when one of them is no record, or there are too many.
 * @example
 * const records = readRecordRows(request.records);
 */
export function readRecordRows(
  rows: unknown,
): readonly StreamRecord[] | undefined {
  if (!Array.isArray(rows) || rows.length > MAX_RECORDS) return undefined;
  const records = rows.map(readRecordRow).filter(each => each !== undefined);
  return records.length < rows.length ? undefined : records;
}

function readRecordRow(row: unknown): StreamRecord | undefined {
  const {key: rowKey, value} = (row ?? {}) as Partial<NewRow>;
  const key = readStreamKey(rowKey);
  const recorded = decodeOrigin(value);
  if (key === undefined || recorded === undefined) return undefined;
  return {key, recorded, replaces: ABSENT};
}
