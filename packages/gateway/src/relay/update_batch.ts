/** Updates of one table, made once for all followers that need the same. */

import type {StoreVersion} from '@snipestage/types/store_version.js';
import {
  serializeUpdate,
  toRelayedRow,
  type RelayedTableName,
  type SerializedUpdate,
} from './relay_messages.js';
import type {TableCopy} from './table_copy.js';

/** Options of {@link UpdateBatch}. */
export interface UpdateBatchOptions {
  readonly table: RelayedTableName;
  readonly copy: TableCopy;
  /** The store's clock as of which the copy is complete; undefined: not known. */
  readonly storeMs?: number;
}

/**
 * Belongs to one state of a table. After a change of many rows the same bytes go
 * to dozens of followers; making them for each would take longer than the time
 * in which a change has to be in force.
 */
export class UpdateBatch {
  private readonly prepared = new Map<string, SerializedUpdate>();

  constructor(private readonly options: UpdateBatchOptions) {}

  /**
   * The changes after a version that a follower has; also without any, since an
   * update confirms that there were no others.
   *
   * @example
   * call.write(batch.updateSince(sentVersion, {isCompressed}));
   */
  updateSince(
    known: StoreVersion,
    form: {readonly isCompressed: boolean},
  ): SerializedUpdate {
    const key = `${known} ${form.isCompressed}`;
    const existing = this.prepared.get(key);
    if (existing !== undefined) return existing;
    const update = this.prepare(known, form);
    this.prepared.set(key, update);
    return update;
  }

  private prepare(
    known: StoreVersion,
    form: {readonly isCompressed: boolean},
  ): SerializedUpdate {
    const {table, copy, storeMs} = this.options;
    const {since, version, rows} = copy.changesSince(known);
    const update = {
      kind: 'rows',
      ping: 0,
      storeMs,
      table,
      since,
      version,
      rows: rows.map(toRelayedRow),
    } as const;
    return serializeUpdate(update, form);
  }
}
