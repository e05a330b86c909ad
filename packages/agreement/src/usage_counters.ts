/**
 * One instance's usage counters, written under its incarnation. Values are
 * cumulative and writes conditional on the row's version, so that a repeated or
 * late write neither counts twice nor reverts anything. A peer keeps a copy and
 * writes it if the instance dies.
 *
 * Table calls: `n` instances that flush every `f` seconds make `n / f` writes a
 * second while they serve, and read only after a write that did not commit.
 */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
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
  /** Sequence and version of the row; a write under way is taken as written. */
  readonly writtenSequence: number;
  readonly version: StoreVersion;
}

/** An instance's counters; the newest window is last. */
export interface CountersState {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly windowMs: number;
  readonly windows: readonly WindowCounters[];
  readonly call: number;
  readonly pending: 'none' | 'writing' | 'reading';
  /** A write conflicted or its result was unknown: rows are read before more. */
  readonly inDoubt: boolean;
}

export type CountersEvent =
  | TableEvent
  /** A served request; counted in the window in which it ended. */
  | {
      readonly kind: 'count';
      readonly line: UsageLine;
      readonly nowEpochMs: number;
    }
  /** To be sent every few seconds, and at shutdown until all is written. */
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
 * Whether everything counted is known to be in the table.
 *
 * @example
 * areCountersWritten(state); // checked before a graceful shutdown ends
 */
export function areCountersWritten(state: CountersState): boolean {
  return state.pending === 'none' && findDirty(state).length === 0;
}

/**
 * Counters to send, often, to the peer that keeps a copy. For each key the peer
 * must keep the value with the highest sequence until the row has that sequence.
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
 * Handles a served request, the time to flush, or the result of a table call.
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
        ? handleReadResult(state, event.result)
        : {state, effects: []};
    case 'transaction_answered':
      return event.call === state.call
        ? handleCommitResult(state, event.result)
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
      version: ABSENT,
    };
    return {...state, windows: [...state.windows, fresh]};
  }
  // If the clock is set back, the newest window goes on counting. Counters of a
  // former window may have been dropped from the state, and counting it again
  // from zero would overwrite the figures in its row.
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
  // Requests counted while the write is under way stay dirty after it.
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

function handleCommitResult(
  state: CountersState,
  result: TransactionResult,
): CountersStep {
  const idle: CountersState = {...state, pending: 'none'};
  if (result.kind === 'committed') {
    const windows = idle.windows.map(each => ({
      ...each,
      version: result.versions[each.key] ?? each.version,
    }));
    return {state: dropWrittenWindows({...idle, windows}), effects: []};
  }
  // Nothing is known to be written. The rows, which a peer's copy or a late
  // write may have changed, are read before the next write.
  const windows = idle.windows.map(each => ({...each, writtenSequence: 0}));
  return {state: {...idle, windows, inDoubt: true}, effects: []};
}

function handleReadResult(
  state: CountersState,
  result: ReadResult,
): CountersStep {
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

function dropWrittenWindows(state: CountersState): CountersState {
  const newest = state.windows.at(-1);
  const windows = state.windows.filter(
    each => each === newest || each.value.sequence > each.writtenSequence,
  );
  return {...state, windows};
}

/**
 * The transaction by which a peer writes its copy when the instance is gone,
 * given the row as read; undefined if the row has the copy's sequence or a higher
 * one. After an unknown outcome, read the row and call this again.
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
