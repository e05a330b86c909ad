import {ABSENT} from '@snipestage/types/store_version.js';
import {
  brandAs,
  type FencingToken,
  type Incarnation,
  type InstanceId,
  type LeaseName,
} from '@snipestage/types/ids.js';
import type {UsageReport} from '@snipestage/types/platform_messages.js';
import test from 'ava';
import {explore} from './models/explore.js';
import {
  carryOut,
  commitTo,
  EMPTY_TABLE,
  scanTable,
  type TableModel,
} from './models/table_model.js';
import {createUsageModel} from './models/usage_model.js';
import type {TableEffect} from './table_effects.js';
import {beginReporter, transitionReporter} from './usage.js';
import type {ReporterState, ReporterStep} from './usage_reporter_messages.js';
import {
  areCountersWritten,
  beginCounters,
  listCopies,
  planCopyWrite,
  transitionCounters,
  type CountersState,
} from './usage_counters.js';

const LIMIT = 300_000;

function lineOf(requests: number, clientAccount = 'shop') {
  const tokens = {promptTokens: 10 * requests, outputTokens: 0};
  return {clientAccount, requestClass: 'quote', requests, ...tokens};
}

function beginShop(): CountersState {
  return beginCounters({
    instance: brandAs<InstanceId>('a'),
    incarnation: brandAs<Incarnation>('1'),
    windowMs: 100,
  });
}

function count(state: CountersState, nowEpochMs: number, requests: number) {
  const event = {kind: 'count', line: lineOf(requests), nowEpochMs} as const;
  return transitionCounters(state, event).state;
}

function flush(table: TableModel, state: CountersState) {
  let step = transitionCounters(state, {kind: 'flush'});
  while (step.effects.length > 0) {
    const done = carryOut(table, step.effects[0], 0);
    table = done.table;
    step = transitionCounters(step.state, done.event);
  }
  return {table, state: step.state};
}

/** Ticks until nothing changes; returns the reports and the table. */
function reportAll(table: TableModel, nowEpochMs: number) {
  const options = {
    lease: brandAs<LeaseName>('usage'),
    windowMs: 100,
    graceMs: 10,
  };
  const held = {fencingToken: brandAs<FencingToken>(1), fenceVersion: ABSENT};
  const acquired = {kind: 'acquired', held} as const;
  let state: ReporterState = beginReporter(options);
  state = transitionReporter(state, acquired).state;
  const reports: UsageReport[] = [];
  for (;;) {
    const before = table;
    let step: ReporterStep = transitionReporter(state, {
      kind: 'tick',
      nowEpochMs,
    });
    while (step.effects.length > 0) {
      const [effect] = step.effects;
      if (effect.kind === 'report') {
        reports.push(effect.report);
        const result = {kind: 'accepted'} as const;
        const {call} = effect;
        const event = {kind: 'report_answered', call, result} as const;
        step = transitionReporter(step.state, event);
      } else {
        const done = carryOut(table, effect as TableEffect, 0);
        table = done.table;
        step = transitionReporter(step.state, done.event);
      }
    }
    state = step.state;
    if (table === before) {
      return {table, reports};
    }
  }
}

test('late counters go into the next window exactly', t => {
  const start = reportAll(EMPTY_TABLE, 50).table;
  const one = flush(start, count(beginShop(), 50, 3));
  const early = reportAll(one.table, 110);
  t.deepEqual(
    early.reports.map(({lines}) => lines),
    [[lineOf(3)]],
  );
  // Two more of the first window are written after its seal, then one of the next.
  const late = count(count(one.state, 60, 2), 150, 1);
  t.false(areCountersWritten(late));
  const two = flush(early.table, late);
  t.true(areCountersWritten(two.state));
  const next = reportAll(two.table, 210);
  t.deepEqual(
    next.reports.map(({lines}) => lines),
    [[lineOf(3)]],
  );
  t.like(next.reports[0], {startEpochMs: 100, endEpochMs: 200});
});

// A data centre was cut off, and its counters arrive after their window's rows
// were sealed and deleted. Only what is new in them must be billed.
test('a counter that is written again after its deletion is not billed twice', t => {
  const start = reportAll(EMPTY_TABLE, 50).table;
  const one = flush(start, count(beginShop(), 50, 3));
  const sealed = reportAll(one.table, 1110).table;
  t.is(scanTable(sealed, 'usage/counters/').length, 0);
  const late = flush(sealed, count(one.state, 60, 2));
  t.false(areCountersWritten(late.state));
  const {table, state} = flush(late.table, late.state);
  t.true(areCountersWritten(state));
  const {reports} = reportAll(table, 1210);
  t.deepEqual(
    reports.map(({lines}) => lines),
    [[lineOf(2)]],
  );
});

// A peer that took an instance for dead writes its older copy after the newer
// row was sealed and deleted. The bill must not be reduced by the difference.
test('an older copy written after the deletion does not reduce the bill', t => {
  const start = reportAll(EMPTY_TABLE, 50).table;
  const one = flush(start, count(beginShop(), 50, 3));
  const [copy] = listCopies(one.state);
  const two = flush(one.table, count(one.state, 60, 2));
  const sealed = reportAll(two.table, 1110).table;
  const absent = {key: copy.key, version: ABSENT, value: null};
  const written = commitTo(sealed, planCopyWrite(absent, copy.value)!).table;
  const {reports} = reportAll(written, 1210);
  t.deepEqual(
    reports.map(({lines}) => lines),
    [[]],
  );
});

// A reporter is paused or dies between any two steps while another goes on, and
// seals and reports are lost or late. A client account must not be billed twice,
// nor with figures that differ between two reports.
test('no order of losses and takeovers reports a window with different figures', t => {
  const sizes = [
    {windows: 2, counts: 2},
    {windows: 1, counts: 1, losses: 1},
    {windows: 1, counts: 1, losses: 1, peer: true, takesOver: false},
  ];
  for (const size of sizes) {
    const {states, transitions, violation, trace} = explore(
      createUsageModel(size),
      LIMIT,
    );
    t.log(JSON.stringify(size), states, 'states', transitions, 'transitions');
    t.is(violation, undefined, JSON.stringify(trace));
  }
});

/** Removes all checks, so that a seal is written unconditionally. */
function dropChecks(step: ReporterStep): ReporterStep {
  const effects = step.effects.map(effect =>
    effect.kind === 'transact'
      ? {...effect, transaction: {...effect.transaction, checks: []}}
      : effect,
  );
  return {...step, effects};
}

test('the model catches a seal that is not conditional', t => {
  const mutant = createUsageModel({
    windows: 1,
    counts: 2,
    mutateStep: dropChecks,
  });
  const {violation, trace} = explore(mutant, LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'sealed figures do not match the counters');
});
