/**
 * One instance's usage counters, written under its incarnation. Values are
 * cumulative and writes conditional on the row's version, so that neither a
 * repeated nor a late write counts twice or takes anything back. A peer keeps a
 * copy and writes it if the instance dies.
 *
 * Store calls: `n` instances that flush every `f` seconds make `n / f` writes a
 * second while they serve, and no reads but after an unknown write.
 */

import type {
  Incarnation,
  InstanceId,
  UsageWindowId,
} from '@snipestage/types/ids.js';
import type {UsageLine} from '@snipestage/types/platform_messages.js';
import type {
  ReadResult,
  Row,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';
import {
  findRow,
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';
import {
  addLines,
  counterKey,
  windowAt,
  type CounterValue,
} from './usage_rows.js';

/** Counters of one window. */
export interface WindowCounters {
  readonly window: UsageWindowId;
  readonly key: string;
  readonly value: CounterValue;
  /** Sequence and version of the row, as far as known. */
  readonly writtenSequence: number;
  readonly version: number;
}

/** An instance's counters; the newest window is last. */
export interface CountersState {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly windowMs: number;
  readonly windows: readonly WindowCounters[];
  readonly call: number;
  readonly pending: 'none' | 'writing' | 'reading';
  /** A write's outcome is unknown: rows are read before the next one. */
  readonly inDoubt: boolean;
}

export type CountersEvent =
  | TableEvent
  /** A request that was served; counted in the window of its end. */
  | {
      readonly kind: 'count';
      readonly line: UsageLine;
      readonly nowEpochMs: number;
    }
  /** To be given every few seconds, and until nothing is dirty at the end. */
  | {readonly kind: 'flush'};

export type CountersStep = Step<CountersState, TableEffect>;

/**
 * @example
 * let state = beginCounters({instance, incarnation, windowMs: 60_000});
 */
export function beginCounters(options: {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly windowMs: number;
}): CountersState {
  return {...options, windows: [], call: 0, pending: 'none', inDoubt: false};
}

/**
 * Whether all that was counted is known to be in the table.
 *
 * @example
 * areCountersWritten(state); // asked before a graceful shutdown ends
 */
export function areCountersWritten(state: CountersState): boolean {
  return state.pending === 'none' && findDirty(state).length === 0;
}

/**
 * What the peer that keeps a copy is told, often: it is to keep, by key, the
 * value with the highest sequence until a row has as much.
 *
 * @example
 * const copies = listCopies(state);
 */
export function listCopies(
  state: CountersState,
): ReadonlyArray<Pick<WindowCounters, 'key' | 'value'>> {
  return state.windows.map(({key, value}) => ({key, value}));
}

/**
 * Takes in a served request, the time to flush, or a result.
 *
 * @example
 * ({state, effects} = transitionCounters(state, {kind: 'flush'}));
 */
export function transitionCounters(
  state: CountersState,
  event: CountersEvent,
): CountersStep {
  switch (event.kind) {
    case 'count':
      return {state: count(state, event.line, event.nowEpochMs), effects: []};
    case 'flush':
      return state.pending === 'none' ? flush(state) : {state, effects: []};
    case 'read_answered':
      return event.call === state.call
        ? takeRows(state, event.result)
        : {state, effects: []};
    case 'transaction_answered':
      return event.call === state.call
        ? takeCommit(state, event.result)
        : {state, effects: []};
    case 'waited':
      return {state, effects: []};
  }
}

function count(
  state: CountersState,
  line: UsageLine,
  nowEpochMs: number,
): CountersState {
  const newest = state.windows.at(-1);
  const current = windowAt(nowEpochMs, state.windowMs);
  if (newest === undefined || current > newest.window) {
    const key = counterKey(current, state.instance, state.incarnation);
    const fresh: WindowCounters = {
      window: current,
      key,
      value: {sequence: 1, lines: [line]},
      writtenSequence: 0,
      version: 0,
    };
    return {...state, windows: [...state.windows, fresh]};
  }
  // A clock that is set back must not open a former window again: its counters
  // may be forgotten here, and starting from nothing would undo what is written.
  const value: CounterValue = {
    sequence: newest.value.sequence + 1,
    lines: addLines(newest.value.lines, [line]),
  };
  const windows = [...state.windows.slice(0, -1), {...newest, value}];
  return {...state, windows};
}

function findDirty(state: CountersState): readonly WindowCounters[] {
  return state.windows.filter(
    ({value, writtenSequence}) => value.sequence > writtenSequence,
  );
}

function flush(state: CountersState): CountersStep {
  const dirty = findDirty(state);
  if (dirty.length === 0) {
    return {state, effects: []};
  }
  if (state.inDoubt) {
    const keys = dirty.map(({key}) => key);
    return startCall({...state, pending: 'reading'}, call => ({
      kind: 'read',
      call,
      keys,
    }));
  }
  const transaction: TableTransaction = {
    checks: dirty.map(({key, version}) => ({key, version})),
    writes: dirty.map(({key, value}) => ({key, value})),
  };
  // What is counted while the write is under way stays dirty after it.
  const windows = state.windows.map(each =>
    dirty.includes(each)
      ? {...each, writtenSequence: each.value.sequence}
      : each,
  );
  return startCall({...state, pending: 'writing', windows}, call => ({
    kind: 'transact',
    call,
    transaction,
  }));
}

function takeCommit(
  state: CountersState,
  result: TransactionResult,
): CountersStep {
  const idle: CountersState = {...state, pending: 'none'};
  if (result.kind === 'committed') {
    const windows = idle.windows.map(each => ({
      ...each,
      version: result.versions[each.key] ?? each.version,
    }));
    return {state: forgetFormer({...idle, windows}), effects: []};
  }
  // Nothing is known to be written; the rows, which a peer's copy or a late
  // write may have changed, are read before the next try.
  const windows = idle.windows.map(each => ({...each, writtenSequence: 0}));
  return {state: {...idle, windows, inDoubt: true}, effects: []};
}

function takeRows(state: CountersState, result: ReadResult): CountersStep {
  const idle: CountersState = {...state, pending: 'none'};
  if (result.kind === 'unavailable') {
    return {state: idle, effects: []};
  }
  const windows = state.windows.map(each => noteRow(each, result.rows));
  return flush({...idle, windows, inDoubt: false});
}

function noteRow(
  counters: WindowCounters,
  rows: readonly Row[],
): WindowCounters {
  const row = findRow(rows, counters.key);
  const sequence = (row.value as CounterValue | null)?.sequence ?? 0;
  return {...counters, version: row.version, writtenSequence: sequence};
}

function forgetFormer(state: CountersState): CountersState {
  const newest = state.windows.at(-1);
  const windows = state.windows.filter(
    each => each === newest || each.value.sequence > each.writtenSequence,
  );
  return {...state, windows};
}

/**
 * What a peer that keeps a copy writes when the instance is gone, given the row
 * as read; undefined if the row has as much. After an unknown outcome it is
 * read and asked again.
 *
 * @example
 * const transaction = planCopyWrite(findRow(rows, key), copy);
 */
export function planCopyWrite(
  row: Row,
  copy: CounterValue,
): TableTransaction | undefined {
  const written = (row.value as CounterValue | null)?.sequence ?? 0;
  if (written >= copy.sequence) {
    return undefined;
  }
  const {key, version} = row;
  return {checks: [{key, version}], writes: [{key, value: copy}]};
}
