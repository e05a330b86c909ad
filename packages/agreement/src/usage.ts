/**
 * The usage reporter: while it holds its lease, it seals one window after another
 * and reports each from its seal, under the window's id. A successor continues
 * from the progress row in the table, with the same figures.
 *
 * Table calls per window, by the one holder: two reads of the progress row, one
 * of the seal, one of the accounted rows, one scan, two transactions; while there
 * is nothing to do, one read per tick. With `n` instances that each serve `a`
 * pairs of client account and class in a window, the scan returns some `n` rows
 * for each of the windows whose counters are kept, and the seal's transaction
 * has about `n a` lines of some 100 bytes.
 */

import type {ReportResult} from '@snipestage/types/platform_messages.js';
import type {ReadResult, Row} from '@snipestage/types/table.js';
import {fenceKey, type LeaseTerm} from './lease_rows.js';
import {findRow, startCall} from './table_effects.js';
import {
  advanceReported,
  chooseTask,
  composeProgressWrite,
} from './usage_progress.js';
import type {
  ReporterEffect,
  ReporterEvent,
  ReporterOptions,
  ReporterPhase,
  ReporterState,
  ReporterStep,
} from './usage_reporter_messages.js';
import {
  accountedKey,
  COUNTERS_PREFIX,
  PROGRESS_KEY,
  sealKey,
  windowAt,
  windowOfKey,
  type ProgressValue,
  type SealValue,
} from './usage_rows.js';
import {composeReport, composeSeal} from './usage_seal.js';

/**
 * @example
 * let state = beginReporter({lease, windowMs: 60_000, graceMs: 15_000});
 */
export function beginReporter(options: ReporterOptions): ReporterState {
  return {options, term: undefined, call: 0, phase: {kind: 'idle'}};
}

/**
 * Handles a tick, a change of the lease, or the result of an effect. A failed or
 * unknown result ends the round; the next tick starts by reading the table.
 *
 * @example
 * ({state, effects} = transitionReporter(state, {kind: 'tick', nowEpochMs}));
 */
export function transitionReporter(
  state: ReporterState,
  event: ReporterEvent,
): ReporterStep {
  switch (event.kind) {
    case 'acquired':
      return end({...state, call: state.call + 1, term: event.held});
    case 'lost':
      return end({...state, call: state.call + 1, term: undefined});
    case 'tick':
      return state.term !== undefined && state.phase.kind === 'idle'
        ? readProgress(state, event.nowEpochMs)
        : {state, effects: []};
    default:
      return event.call === state.call && state.term !== undefined
        ? handleResult(state, state.term, event)
        : {state, effects: []};
  }
}

type ResultEvent = Exclude<
  ReporterEvent,
  {readonly kind: 'acquired' | 'lost' | 'tick'}
>;

function handleResult(
  state: ReporterState,
  term: LeaseTerm,
  event: ResultEvent,
): ReporterStep {
  switch (event.kind) {
    case 'read_answered':
      return handleReadResult(state, term, event.result);
    case 'report_answered':
      return handleReportResult(state, term, event.result);
    case 'transaction_answered':
      // Committed, in conflict or unknown: the next tick reads the outcome.
      return end(state);
    case 'waited':
      return {state, effects: []};
  }
}

function end(state: ReporterState): ReporterStep {
  return {state: {...state, phase: {kind: 'idle'}}, effects: []};
}

/** Enters a phase and starts its effect under a new call number. */
function enter(
  state: ReporterState,
  phase: ReporterPhase,
  effectOf: (call: number) => ReporterEffect,
): ReporterStep {
  return startCall({...state, phase}, effectOf);
}

function readProgress(state: ReporterState, nowEpochMs: number): ReporterStep {
  return enter(state, {kind: 'reading_progress', nowEpochMs}, call => ({
    kind: 'read',
    call,
    keys: [PROGRESS_KEY],
  }));
}

function handleReadResult(
  state: ReporterState,
  term: LeaseTerm,
  result: ReadResult,
): ReporterStep {
  const {phase} = state;
  if (result.kind === 'unavailable') {
    return end(state);
  }
  const {rows} = result;
  switch (phase.kind) {
    case 'reading_progress':
      return startTask(
        state,
        term,
        findRow(rows, PROGRESS_KEY),
        phase.nowEpochMs,
      );
    case 'scanning_counters':
      return enter(
        state,
        {...phase, kind: 'reading_accounted', counters: rows},
        call => ({kind: 'read', call, keys: listAccountedKeys(rows)}),
      );
    case 'reading_accounted':
      return seal(state, term, {...phase, accounted: rows});
    case 'reading_seal':
      return report(state, phase.progress, rows);
    default:
      return {state, effects: []};
  }
}

function startTask(
  state: ReporterState,
  term: LeaseTerm,
  progress: Row,
  nowEpochMs: number,
): ReporterStep {
  const value = progress.value as ProgressValue | null;
  const task = chooseTask(value, nowEpochMs, state.options);
  switch (task.kind) {
    case 'begin':
      return writeProgress(state, term, progress, task.progress);
    case 'report': {
      const keys = [sealKey(task.window)];
      return enter(state, {kind: 'reading_seal', progress}, call => ({
        kind: 'read',
        call,
        keys,
      }));
    }
    case 'seal':
      return enter(state, {kind: 'scanning_counters', progress}, call => ({
        kind: 'scan',
        call,
        prefix: COUNTERS_PREFIX,
      }));
    case 'rest':
      return end(state);
  }
}

function listAccountedKeys(counters: readonly Row[]): readonly string[] {
  const keys = counters.map(({key}) => accountedKey(windowOfKey(key)));
  return [...new Set(keys)];
}

function seal(
  state: ReporterState,
  term: LeaseTerm,
  read: {
    readonly progress: Row;
    readonly counters: readonly Row[];
    readonly accounted: readonly Row[];
  },
): ReporterStep {
  const {lease, windowMs, counterRetentionMs, accountedRetentionMs} =
    state.options;
  const {nextToSealEpochMs} = read.progress.value as ProgressValue;
  const transaction = composeSeal({
    ...read,
    windowMs,
    counterRetentionMs,
    accountedRetentionMs,
    window: windowAt(nextToSealEpochMs, windowMs),
    fence: {key: fenceKey(lease), version: term.fenceVersion},
  });
  return enter(state, {kind: 'writing'}, call => ({
    kind: 'transact',
    call,
    transaction,
  }));
}

/**
 * Reports the figures of the seal in the table, never those computed here: if the
 * outcome of writing the seal was unknown, the table may have the seal of another
 * holder, with other figures.
 */
function report(
  state: ReporterState,
  progress: Row,
  rows: readonly Row[],
): ReporterStep {
  const {windowMs} = state.options;
  const {nextToReportEpochMs} = progress.value as ProgressValue;
  const window = windowAt(nextToReportEpochMs, windowMs);
  const value = findRow(rows, sealKey(window)).value as SealValue | null;
  if (value === null) {
    return end(state);
  }
  return enter(state, {kind: 'reporting', progress}, call => ({
    kind: 'report',
    call,
    report: composeReport(nextToReportEpochMs, windowMs, value),
  }));
}

function handleReportResult(
  state: ReporterState,
  term: LeaseTerm,
  result: ReportResult | {readonly kind: 'not_sent'},
): ReporterStep {
  const {phase} = state;
  const settled = result.kind === 'accepted' || result.kind === 'refused';
  if (phase.kind !== 'reporting' || !settled) {
    // The platform may have accepted it; a later tick sends the same report.
    return end(state);
  }
  const value = phase.progress.value as ProgressValue;
  const {windowMs} = state.options;
  const next = advanceReported(value, windowMs);
  const step = writeProgress(state, term, phase.progress, next);
  if (result.kind === 'accepted') {
    return step;
  }
  const window = windowAt(value.nextToReportEpochMs, windowMs);
  const {reason} = result;
  const refusal = {kind: 'report_refused', window, reason} as const;
  return {...step, effects: [refusal, ...step.effects]};
}

function writeProgress(
  state: ReporterState,
  term: LeaseTerm,
  progress: Row,
  value: ProgressValue,
): ReporterStep {
  const {lease} = state.options;
  const transaction = composeProgressWrite({lease, term, progress, value});
  return enter(state, {kind: 'writing'}, call => ({
    kind: 'transact',
    call,
    transaction,
  }));
}
