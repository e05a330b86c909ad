import {brandAs, type FencingToken} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  beginLease,
  leaseInForce,
  transitionLease,
  type LeaseEvent,
  type LeaseState,
  type LeaseStep,
} from './lease.js';
import type {LeaseValue} from './lease_rows.js';
import {explore} from './models/explore.js';
import {createLeaseModel} from './models/lease_model.js';
import {carryOut, EMPTY_TABLE, type TableModel} from './models/table_model.js';
import type {TableEffect} from './table_effects.js';

const LIMIT = 300_000;

function begin(instance: string): LeaseState {
  return beginLease({
    name: brandAs('usage'),
    instance: brandAs(instance),
    incarnation: brandAs(instance),
    termMs: 3000,
    marginMs: 500,
    renewEveryMs: 1000,
    pollEveryMs: 1000,
  });
}

/** Feeds an event, and the results of the table calls that it leads to. */
function feed(table: TableModel, state: LeaseState, event: LeaseEvent) {
  let step = transitionLease(state, event);
  const notices = [];
  for (;;) {
    notices.push(...step.effects.filter(({kind}) => !CALLS.includes(kind)));
    const call = step.effects.find(({kind}) => CALLS.includes(kind));
    if (call === undefined) {
      return {table, state: step.state, notices: notices.map(({kind}) => kind)};
    }
    const done = carryOut(table, call as TableEffect, event.nowMs);
    table = done.table;
    step = transitionLease(step.state, done.event);
  }
}

const CALLS = ['read', 'scan', 'transact'];
const tick = (nowMs: number) => ({kind: 'tick', nowMs}) as const;

test('after a release the successor takes the lease without waiting', t => {
  const polled = feed(EMPTY_TABLE, begin('a'), tick(0));
  const taken = feed(polled.table, polled.state, tick(1));
  t.deepEqual(taken.notices, ['acquired']);
  const waiting = feed(taken.table, begin('b'), tick(10));
  t.deepEqual(feed(waiting.table, waiting.state, tick(11)).notices, []);
  const left = feed(taken.table, taken.state, {kind: 'retire', nowMs: 100});
  t.deepEqual(left.notices, ['lost']);
  const seen = feed(left.table, waiting.state, tick(1010));
  const successor = feed(seen.table, seen.state, tick(1011));
  t.deepEqual(successor.notices, ['acquired']);
  t.is(successor.state.held?.fencingToken, brandAs<FencingToken>(2));
});

// A holder shuts down while its renewal is under way, and gets no more ticks.
// Without the release its successor could send no orders for a whole term.
test('a lease is released after a renewal that was under way', t => {
  const polled = feed(EMPTY_TABLE, begin('a'), tick(0));
  const taken = feed(polled.table, polled.state, tick(1));
  const renewing = transitionLease(taken.state, tick(1500));
  const retired = transitionLease(renewing.state, {
    kind: 'retire',
    nowMs: 1501,
  });
  t.like(retired.effects, [{kind: 'lost'}]);
  const effect = renewing.effects[0] as TableEffect;
  const done = carryOut(taken.table, effect, 1502);
  const left = feed(done.table, retired.state, done.event);
  t.true((left.table['leases/usage'].value as LeaseValue).released);
});

// The holder's process is paused for longer than its term, then resumes. If it
// still acted under the lease, the platform would get orders from two holders.
test('a paused holder loses its term, a challenger waits until it has ended', t => {
  const polled = feed(EMPTY_TABLE, begin('a'), tick(0));
  const taken = feed(polled.table, polled.state, tick(1));
  t.truthy(leaseInForce(taken.state, 2500));
  t.is(leaseInForce(taken.state, 2501), undefined);
  let other = feed(taken.table, begin('b'), tick(10));
  for (const nowMs of [1010, 2010, 3010, 3509]) {
    other = feed(other.table, other.state, tick(nowMs));
    t.deepEqual(other.notices, []);
  }
  other = feed(other.table, other.state, tick(3510));
  t.deepEqual(other.notices, ['acquired']);
  const resumed = feed(other.table, taken.state, tick(9000));
  t.deepEqual(resumed.notices, ['lost']);
});

test('an unknown renewal does not lengthen the term', t => {
  const polled = feed(EMPTY_TABLE, begin('a'), tick(0));
  const taken = feed(polled.table, polled.state, tick(1));
  const renewing = transitionLease(taken.state, tick(1500));
  const result = {kind: 'unknown', reason: 'lost'} as const;
  const {call} = renewing.state;
  const event = {
    kind: 'transaction_answered',
    call,
    result,
    nowMs: 2000,
  } as const;
  const readingBack = transitionLease(renewing.state, event);
  t.is(readingBack.state.held?.termEndsAtMs, 2501);
});

// Answers are lost, renewals arrive late, clocks drift, processes pause: two
// instances must never act under one lease at the same time.
test('no order of losses, pauses and drift gives a lease two holders', t => {
  const sizes = [
    {lastToken: 1, losses: 1, driftMs: 1},
    {lastToken: 2, losses: 0, driftMs: 1},
    {lastToken: 1, losses: 0, driftMs: 1, retire: true},
  ];
  for (const size of sizes) {
    const model = createLeaseModel({...size, orders: false});
    const {states, transitions, violation, trace} = explore(model, LIMIT);
    t.log(JSON.stringify(size), states, 'states', transitions, 'transitions');
    t.is(violation, undefined, JSON.stringify(trace));
  }
});

test('the model catches a lease without a margin', t => {
  const mutant = createLeaseModel({orders: false, marginMs: 0, losses: 0});
  const {violation, trace} = explore(mutant, LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'two instances act as the holder');
});

/** Numbers a renewal from the row, so that two renewals can be equal. */
function countFromRow(step: LeaseStep): LeaseStep {
  const {pending, seen} = step.state;
  if (pending?.kind !== 'write') {
    return step;
  }
  const former = seen?.row.value as LeaseValue | null | undefined;
  const wanted = {...pending.wanted, renewals: (former?.renewals ?? 0) + 1};
  const effects = step.effects.map(effect => {
    if (effect.kind !== 'transact') {
      return effect;
    }
    const [lease, ...rest] = effect.transaction.writes;
    const writes = [{...lease, value: wanted}, ...rest];
    return {...effect, transaction: {...effect.transaction, writes}};
  });
  return {state: {...step.state, pending: {...pending, wanted}}, effects};
}

test('the model catches renewals that cannot be told apart', t => {
  const mutant = createLeaseModel({
    orders: false,
    lastToken: 1,
    losses: 1,
    driftMs: 2,
    mutateLease: countFromRow,
  });
  const {violation, trace} = explore(mutant, LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'two instances act as the holder');
});

const SET_BACK = {
  orders: false,
  lastToken: 1,
  losses: 0,
  driftMs: 0,
  setBacks: 1,
} as const;

test('a store that is set back gives a lease no second holder', t => {
  // Guards against a holder that is in its term while the copy says that the
  // lease is free, or held by another.
  const {states, violation, trace} = explore(createLeaseModel(SET_BACK), LIMIT);
  t.log(states, 'states');
  t.is(violation, undefined, JSON.stringify(trace));
});

/** Takes a lease as if the era of the store had been known for long. */
function trustNewEra({state, effects}: LeaseStep): LeaseStep {
  const era = state.era && {...state.era, sinceMs: Number.NEGATIVE_INFINITY};
  return {state: {...state, era}, effects};
}

test('the model catches a lease that is taken at once in a new era', t => {
  const mutant = createLeaseModel({...SET_BACK, mutateLease: trustNewEra});
  const {violation, trace} = explore(mutant, LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'two instances act as the holder');
});
