/** Updates of one table, made once for all followers that need the same. */

import type {StoreVersion} from '@snipestage/types/store_version.js';
import {
  serializeUpdate,
  toRelayedRow,
  type RelayedTableName,
  type SerializedUpdate,
} from './relay_messages.js';
import type {TableCopy} from './table_copy.js';

/** What a follower is sent, and up to which version. */
export interface PreparedUpdate {
  readonly version: StoreVersion;
  /** Undefined when nothing has changed. */
  readonly rows: SerializedUpdate | undefined;
}

/** Options of {@link UpdateBatch}. */
export interface UpdateBatchOptions {
  readonly table: RelayedTableName;
  readonly copy: TableCopy;
}

/**
 * Belongs to one state of a table. After a change of many rows the same bytes go
 * to dozens of followers; making them for each would take longer than the time
 * in which a change has to be in force.
 */
export class UpdateBatch {
  private readonly prepared = new Map<string, PreparedUpdate>();

  constructor(private readonly options: UpdateBatchOptions) {}

  /**
   * The changes after a version that a follower has.
   *
   * @example
   * const {rows, version} = batch.changesSince(sentVersion, {isCompressed});
   */
  changesSince(
    known: StoreVersion,
    form: {readonly isCompressed: boolean},
  ): PreparedUpdate {
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
  ): PreparedUpdate {
    const {table, copy} = this.options;
    const {since, version, rows} = copy.changesSince(known);
    // Also where the changes after `known` are lost: the follower has to see
    // that its version isn't covered.
    if (rows.length === 0 && since === known) {
      return {version, rows: undefined};
    }
    const message = {
      kind: 'rows',
      ping: 0,
      table,
      since,
      version,
      rows: rows.map(toRelayedRow),
    } as const;
    return {version, rows: serializeUpdate(message, form)};
  }
}
