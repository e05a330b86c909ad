/**
 * Specification of usage windows: an instance that counts and may write late, a
 * peer with a copy, and two reporters of which the first may not know that it was
 * replaced, over a table that loses answers. A crashed instance is one that takes
 * no more actions. Invariants: no window is reported with different figures, no
 * seal has negative figures, and the sealed figures are exactly those accounted
 * and never more than what was counted.
 */

import type {StoreVersion} from '@snipestage/types/store_version.js';
import {
  brandAs,
  type FencingToken,
  type LeaseName,
} from '@snipestage/types/ids.js';
import {fenceKey} from '../lease_rows.js';
import type {TableEffect} from '../table_effects.js';
import {beginReporter, transitionReporter} from '../usage.js';
import type {
  ReporterEffect,
  ReporterEvent,
  ReporterState,
} from '../usage_reporter_messages.js';
import {
  beginCounters,
  listCopies,
  planCopyWrite,
  transitionCounters,
  type CountersStep,
} from '../usage_counters.js';
import type {Model} from './explore.js';
import {findUsageViolation} from './usage_model_rules.js';
import type {
  UsageAction,
  UsageModelOptions,
  UsageWorld,
  Reporter,
} from './usage_world.js';
import {commitTo, type TableModel} from './table_model.js';
import {
  deliver,
  deliverLate,
  listDeliveries,
  listLate,
  type Delivery,
} from './world_model.js';

const LEASE = brandAs<LeaseName>('usage');
const LINE = {
  clientAccount: 'gear-menders',
  requestClass: 'counter',
  requests: 1,
  promptTokens: 0,
  outputTokens: 0,
};

/**
 * The specification over the production functions.
 *
 * @example
 * explore(createUsageModel(), 300_000).violation; // undefined
 */
export function createUsageModel(
  options: UsageModelOptions = {},
): Model<UsageWorld, UsageAction> {
  const limits = {
    windows: 1,
    counts: 2,
    takesOver: true,
    peer: false,
    ...options,
  };
  const initial: UsageWorld = {
    world: {
      table: writeFence({}, 1),
      late: [],
      lossesLeft: options.losses ?? 0,
    },
    nowEpochMs: 0,
    counter: beginCounters({
      instance: brandAs('akl-a-1'),
      incarnation: brandAs('1'),
      windowMs: 1,
    }),
    counterCall: undefined,
    copies: [],
    counted: 0,
    reporters: [
      createReporterInTerm(1),
      {state: createIdleState(), pending: undefined},
    ],
    reported: {},
  };
  return {
    initial,
    listActions: state => listUsageActions(state, limits),
    next: (state, action) => nextUsageWorld(state, action, options),
    findViolation: findUsageViolation,
    serialize: state =>
      JSON.stringify(state, (field, value: unknown) =>
        field === 'call' || field === 'options' ? undefined : value,
      ),
  };
}

function createIdleState(): ReporterState {
  return beginReporter({
    lease: LEASE,
    windowMs: 1,
    graceMs: 0,
    counterRetentionMs: 1,
  });
}

function createReporterInTerm(token: number): Reporter {
  const fencingToken = brandAs<FencingToken>(token);
  const held = {fencingToken, fenceVersion: brandAs<StoreVersion>(token)};
  const {state} = transitionReporter(createIdleState(), {
    kind: 'acquired',
    held,
  });
  return {state, pending: undefined};
}

function writeFence(table: TableModel, token: number): TableModel {
  const value = {fencingToken: token};
  const writes = [{key: fenceKey(LEASE), value}];
  return commitTo(table, {checks: [], writes}).table;
}

function listUsageActions(
  state: UsageWorld,
  limits: Required<Omit<UsageModelOptions, 'losses' | 'mutateStep'>>,
): readonly UsageAction[] {
  const actions: UsageAction[] = [...listLate(state.world)];
  if (state.counted < limits.counts) {
    actions.push({type: 'count'});
  }
  if (state.nowEpochMs < limits.windows) {
    actions.push({type: 'window_ends'});
  }
  if (limits.takesOver && state.reporters[1].state.term === undefined) {
    actions.push({type: 'take_over'});
  }
  actions.push({type: 'flush'});
  if (limits.peer) {
    actions.push({type: 'copy'}, {type: 'write_copies'});
  }
  state.reporters.forEach(({pending}, reporter) => {
    if (pending === undefined) {
      actions.push({type: 'tick', reporter});
    }
    actions.push(...listDeliveriesTo(state, reporter as 0 | 1, pending));
  });
  actions.push(...listDeliveriesTo(state, 'counter', state.counterCall));
  return actions;
}

function listDeliveriesTo(
  state: UsageWorld,
  to: 'counter' | 0 | 1,
  effect: ReporterEffect | undefined,
): readonly UsageAction[] {
  if (effect === undefined || effect.kind === 'report_refused') {
    return [];
  }
  if (effect.kind !== 'report') {
    const deliveries = listDeliveries(state.world, effect);
    return deliveries.map(delivery => ({type: 'deliver', to, delivery}));
  }
  const lost = {type: 'deliver', to, delivery: 'answer_lost'} as const;
  return [
    {type: 'deliver', to, delivery: 'answered'},
    ...(state.world.lossesLeft > 0 ? [lost] : []),
  ];
}

function nextUsageWorld(
  state: UsageWorld,
  action: UsageAction,
  options: UsageModelOptions,
): UsageWorld {
  const {world, nowEpochMs, counter} = state;
  switch (action.type) {
    case 'late':
      return {...state, world: deliverLate(world, action.index)};
    case 'count': {
      const event = {kind: 'count', line: LINE, nowEpochMs} as const;
      const counted = state.counted + 1;
      return onCounter({...state, counted}, transitionCounters(counter, event));
    }
    case 'flush':
      return onCounter(state, transitionCounters(counter, {kind: 'flush'}));
    case 'copy':
      return {...state, copies: listCopies(counter)};
    case 'write_copies':
      return writeCopies(state);
    case 'window_ends':
      return {...state, nowEpochMs: nowEpochMs + 1};
    case 'take_over': {
      const reporters = [state.reporters[0], createReporterInTerm(2)];
      const table = writeFence(world.table, 2);
      return {...state, reporters, world: {...world, table}};
    }
    case 'tick': {
      const event = {kind: 'tick', nowEpochMs} as const;
      return onReporter(state, action.reporter, event, options);
    }
    case 'deliver':
      return deliverTo(state, action, options);
  }
}

function onCounter(state: UsageWorld, step: CountersStep): UsageWorld {
  const counterCall = step.effects[0] ?? state.counterCall;
  return {...state, counter: step.state, counterCall};
}

function writeCopies(state: UsageWorld): UsageWorld {
  let {table} = state.world;
  for (const {key, value} of state.copies) {
    const row = table[key] ?? {key, version: 0, value: null};
    const transaction = planCopyWrite(row, value);
    table = transaction ? commitTo(table, transaction).table : table;
  }
  return {...state, world: {...state.world, table}};
}

function onReporter(
  state: UsageWorld,
  index: number,
  event: ReporterEvent,
  options: UsageModelOptions,
): UsageWorld {
  const mutate = options.mutateStep ?? (each => each);
  const former = state.reporters[index];
  const step = mutate(transitionReporter(former.state, event));
  const pending = step.effects[0] ?? former.pending;
  if (pending?.kind === 'read') {
    // Reads are answered at once: if the rows change after the read, the
    // transaction that relies on them conflicts, and seals are never rewritten.
    // Scans, whose rows may change unnoticed, are answered by a later action.
    const {event: answer} = deliver(state.world, pending, 'answered', 0);
    return onReporter(
      withReporter(state, index, step.state),
      index,
      answer,
      options,
    );
  }
  return withReporter(state, index, step.state, pending);
}

function withReporter(
  state: UsageWorld,
  index: number,
  next: ReporterState,
  pending?: ReporterEffect,
): UsageWorld {
  const reporters = state.reporters.map((each, i) =>
    i === index ? {state: next, pending} : each,
  );
  return {...state, reporters};
}

function deliverTo(
  state: UsageWorld,
  {to, delivery}: UsageAction & {readonly type: 'deliver'},
  options: UsageModelOptions,
): UsageWorld {
  if (to === 'counter') {
    const done = deliver(state.world, state.counterCall!, delivery, 0);
    const idle = {...state, counterCall: undefined, world: done.world};
    return onCounter(idle, transitionCounters(state.counter, done.event));
  }
  const effect = state.reporters[to].pending!;
  const idle = withReporter(state, to, state.reporters[to].state);
  if (effect.kind === 'report') {
    return deliverReport(idle, to, effect, delivery, options);
  }
  const done = deliver(state.world, effect as TableEffect, delivery, 0);
  return onReporter({...idle, world: done.world}, to, done.event, options);
}

function deliverReport(
  state: UsageWorld,
  to: 0 | 1,
  effect: ReporterEffect & {readonly kind: 'report'},
  delivery: Delivery,
  options: UsageModelOptions,
): UsageWorld {
  const {window, lines} = effect.report;
  const figures = JSON.stringify(lines);
  const former = state.reported[window] ?? [];
  const distinct = [...new Set([...former, figures])];
  const lost = delivery !== 'answered';
  const lossesLeft = state.world.lossesLeft - (lost ? 1 : 0);
  const next: UsageWorld = {
    ...state,
    world: {...state.world, lossesLeft},
    reported: {...state.reported, [window]: distinct},
  };
  const result = lost
    ? ({kind: 'unknown', reason: 'lost'} as const)
    : ({kind: 'accepted'} as const);
  const {call} = effect;
  return onReporter(next, to, {kind: 'report_answered', call, result}, options);
}
