/** The platform's table as a pure value, for models, measurements and tests. */

import {brandAs} from '@snipestage/types/ids.js';
import type {StoreVersion} from '@snipestage/types/store_version.js';
import type {
  Row,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';
import {findRow, type TableEffect, type TableEvent} from '../table_effects.js';

/** Rows by key. */
export type TableModel = Readonly<Record<string, Row>>;

export const EMPTY_TABLE: TableModel = {};

/**
 * @example
 * readTable(table, ['configuration/head']);
 */
export function readTable(
  table: TableModel,
  keys: readonly string[],
): readonly Row[] {
  return keys.filter(key => key in table).map(key => table[key]);
}

/**
 * @example
 * scanTable(table, 'usage/');
 */
export function scanTable(table: TableModel, prefix: string): readonly Row[] {
  const keys = Object.keys(table).filter(key => key.startsWith(prefix));
  return readTable(table, keys.sort());
}

/** A table after a transaction, and its result. */
export interface CommitStep {
  readonly table: TableModel;
  readonly result: TransactionResult;
}

/**
 * Commits all writes if all checks hold.
 *
 * @example
 * const {table, result} = commitTo(before, transaction);
 */
export function commitTo(
  table: TableModel,
  transaction: TableTransaction,
): CommitStep {
  const failed = transaction.checks
    .map(check => ({check, row: findRow(Object.values(table), check.key)}))
    .filter(({check, row}) => row.version !== check.version)
    .map(({row}) => row);
  if (failed.length > 0) {
    return {table, result: {kind: 'conflict', rows: failed}};
  }
  const next: Record<string, Row> = {...table};
  const versions: Record<string, StoreVersion> = {};
  for (const {key, value} of transaction.writes) {
    const version = brandAs<StoreVersion>((table[key]?.version ?? 0) + 1);
    versions[key] = version;
    if (value === null) {
      delete next[key];
    } else {
      next[key] = {key, version, value};
    }
  }
  return {table: next, result: {kind: 'committed', versions}};
}

/** A table after an effect was carried out, and the event to feed back. */
export interface EffectStep {
  readonly table: TableModel;
  readonly event: TableEvent;
}

/**
 * Carries out an effect; the table is available and no answer is lost.
 *
 * @example
 * const {table, event} = carryOut(before, effect, nowMs);
 */
export function carryOut(
  table: TableModel,
  effect: TableEffect,
  nowMs: number,
): EffectStep {
  const {call} = effect;
  switch (effect.kind) {
    case 'read':
    case 'scan': {
      const rows =
        effect.kind === 'read'
          ? readTable(table, effect.keys)
          : scanTable(table, effect.prefix);
      const result = {kind: 'rows', rows} as const;
      return {table, event: {kind: 'read_answered', call, result, nowMs}};
    }
    case 'transact': {
      const {table: next, result} = commitTo(table, effect.transaction);
      const kind = 'transaction_answered';
      return {table: next, event: {kind, call, result, nowMs}};
    }
    case 'wait':
      return {table, event: {kind: 'waited', call, nowMs}};
  }
}
