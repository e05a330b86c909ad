/** The platform's table as a pure value, for models, measurements and tests. */

import {
  ABSENT,
  composeStoreVersion,
  eraOf,
  numberOf,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import type {
  Row,
  RowCheck,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';
import type {TableEffect, TableEvent} from '../table_effects.js';

/** Rows by key. */
export type TableModel = Readonly<Record<string, Row>>;

export const EMPTY_TABLE: TableModel = {};

/** Its version states the era of a table that was set back. */
const ERA_KEY = '';

/**
 * A table that was set back to a copy of itself; a new era begins.
 *
 * @example
 * const table = setBackTo(copy, 1);
 */
export function setBackTo(copy: TableModel, era: number): TableModel {
  const rows = Object.values(copy).map(row => [
    row.key,
    {
      ...row,
      version: composeStoreVersion({era, number: numberOf(row.version)}),
    },
  ]);
  const version = composeStoreVersion({era, number: 0});
  const marker = {key: ERA_KEY, version, value: null};
  return {...Object.fromEntries(rows), [ERA_KEY]: marker};
}

function eraOfTable(table: TableModel): number {
  return eraOf(table[ERA_KEY]?.version ?? ABSENT);
}

function lookUp(table: TableModel, key: string): Row {
  const version = composeStoreVersion({era: eraOfTable(table), number: 0});
  return table[key] ?? {key, version, value: null};
}

/**
 * Whether the store takes a condition for fulfilled: it knows numbers only. A row
 * that must not exist may be absent in any era.
 */
function holds(table: TableModel, {key, version}: RowCheck): boolean {
  return numberOf(lookUp(table, key).version) === numberOf(version);
}

/**
 * Whether a transaction was composed for an older era than the table's. Its
 * sender then learns of the new one by the answer.
 *
 * @example
 * if (isOutdatedIn(table, transaction)) return unknown;
 */
export function isOutdatedIn(
  table: TableModel,
  {checks}: TableTransaction,
): boolean {
  return checks.some(
    ({version}) => version !== ABSENT && eraOf(version) < eraOfTable(table),
  );
}

/**
 * @example
 * readTable(table, ['configuration/head']);
 */
export function readTable(
  table: TableModel,
  keys: readonly string[],
): readonly Row[] {
  // A row that doesn't exist states the era, if there is one.
  const isListed = (key: string) => key in table || ERA_KEY in table;
  return keys.filter(isListed).map(key => lookUp(table, key));
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
    .filter(check => !holds(table, check))
    .map(({key}) => lookUp(table, key));
  if (failed.length > 0) {
    return {table, result: {kind: 'conflict', rows: failed}};
  }
  const next: Record<string, Row> = {...table};
  const versions: Record<string, StoreVersion> = {};
  for (const {key, value} of transaction.writes) {
    const {version: before} = lookUp(table, key);
    const number = numberOf(before) + 1;
    const version = composeStoreVersion({era: eraOfTable(table), number});
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
