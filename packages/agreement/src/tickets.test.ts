import type {
  ChangeTicket,
  ObjectChange,
} from '@snipestage/types/configuration.js';
import {brandAs} from '@snipestage/types/ids.js';
import test from 'ava';
import {measureTickets} from './models/measure_tickets.js';
import {carryOut, EMPTY_TABLE, type TableModel} from './models/table_model.js';
import {
  beginTicket,
  limitToThisAttempt,
  transitionTicket,
  type TicketStep,
} from './tickets.js';

type Loss = 'before' | 'after';

function modelChange(id: string, tokens: number | null): ObjectChange {
  const state =
    tokens === null ? null : {id: brandAs(id), typicalOutputTokens: tokens};
  return {kind: 'model', id, state} as ObjectChange;
}

const POOL = {
  kind: 'endpoint_pool',
  id: 'akl-a/repair',
  state: {model: 'repair', dataCentre: 'akl-a'},
} as unknown as ObjectChange;

const DATA_CENTRE = {
  kind: 'data_centre',
  id: 'akl-a',
  state: {id: 'akl-a', region: 'nz-north'},
} as unknown as ObjectChange;

function ticketOf(number: number, ...changes: ObjectChange[]): ChangeTicket {
  return {number: brandAs(number), author: 'ana', reason: 'test', changes};
}

/**
 * Runs a ticket to its end. Each transaction takes the next of `losses`: `before`
 * it is lost before it takes effect, `after` only its answer is lost.
 */
function finish(table: TableModel, first: TicketStep, losses: Loss[] = []) {
  let {state, effects} = first;
  while (effects.length > 0) {
    const [effect] = effects;
    const loss = effect.kind === 'transact' ? losses.shift() : undefined;
    const done = carryOut(table, effect, 0);
    table = loss === 'before' ? table : done.table;
    const lost = {
      kind: 'transaction_answered',
      call: effect.call,
      result: {kind: 'unknown', reason: 'no answer'},
      nowMs: 0,
    } as const;
    ({state, effects} = transitionTicket(state, loss ? lost : done.event));
  }
  return {table, outcome: state.outcome!};
}

function submit(table: TableModel, ticket: ChangeTicket, losses: Loss[] = []) {
  return finish(table, beginTicket({ticket}), losses);
}

test('a ticket can be submitted again, but not with changed content', t => {
  const ticket = ticketOf(5, modelChange('repair', 100));
  const first = submit(EMPTY_TABLE, ticket);
  t.deepEqual(first.outcome, {kind: 'accepted', revision: brandAs(1)});
  const again = submit(first.table, structuredClone(ticket));
  t.deepEqual(again.outcome, {kind: 'already_accepted', revision: brandAs(1)});
  const other = submit(first.table, ticketOf(5, modelChange('repair', 7)));
  t.is(other.outcome.kind, 'conflict');
  const lower = submit(first.table, ticketOf(4, modelChange('repair', 7)));
  t.like(lower.outcome, {kind: 'superseded', by: 5});
});

test('a ticket with a lower number does not recreate a removed object', t => {
  const made = submit(EMPTY_TABLE, ticketOf(1, modelChange('repair', 1)));
  const gone = submit(made.table, ticketOf(9, modelChange('repair', null)));
  t.is(gone.outcome.kind, 'accepted');
  const late = submit(gone.table, ticketOf(5, modelChange('repair', 2)));
  t.like(late.outcome, {kind: 'superseded', by: 9});
});

// The table commits a ticket and its answer is lost, or the transaction never
// arrives. If it were reported as failed, the operator would submit it again
// under a new number; if as accepted too early, the change might not exist.
test('after a lost answer the row is read back before an outcome is given', t => {
  const ticket = ticketOf(5, modelChange('repair', 100));
  for (const loss of ['before', 'after'] as const) {
    const {table, outcome} = submit(EMPTY_TABLE, ticket, [loss]);
    t.deepEqual(outcome, {kind: 'accepted', revision: brandAs(1)}, loss);
    t.is(Number(table['configuration/head'].version), 1);
  }
  const allLost = Array.from({length: 8}, () => 'before' as const);
  t.is(submit(EMPTY_TABLE, ticket, allLost).outcome.kind, 'unknown');
});

// The table becomes unavailable between the reads of the ticket's row and of its
// revision. The outcome `unavailable` would say that nothing had taken effect.
test('a ticket whose row was seen never ends as unavailable', t => {
  const ticket = ticketOf(5, modelChange('repair', 100));
  const {table} = submit(EMPTY_TABLE, ticket);
  const begun = beginTicket({ticket, maxAttempts: 1});
  const read = carryOut(table, begun.effects[0], 0);
  const seen = transitionTicket(begun.state, read.event);
  const {state} = transitionTicket(seen.state, {
    kind: 'read_answered',
    call: seen.state.call,
    result: {kind: 'unavailable', reason: 'down'},
    nowMs: 0,
  });
  t.is(state.outcome?.kind, 'unknown');
});

// One operator removes a model while another creates an endpoint pool for it. If
// both were accepted, the pool would refer to a model that does not exist.
test('of a removal and a new reference to the object only one is accepted', t => {
  const base = submit(
    EMPTY_TABLE,
    ticketOf(1, modelChange('repair', 1), DATA_CENTRE),
  ).table;
  const remove = beginTicket({
    ticket: ticketOf(2, modelChange('repair', null)),
  });
  const refer = beginTicket({ticket: ticketOf(3, POOL)});
  for (const [first, second] of [
    [remove, refer],
    [refer, remove],
  ]) {
    const read = carryOut(base, second.effects[0], 0);
    const early = transitionTicket(second.state, read.event);
    const won = finish(base, first);
    t.is(won.outcome.kind, 'accepted');
    t.is(finish(won.table, early).outcome.kind, 'invalid');
  }
});

test('a ticket that refers to a missing object is refused', t => {
  // Guards against endpoint pools, endpoints and accounts without what they need.
  const endpoint = {
    kind: 'endpoint',
    id: 'e',
    state: {
      id: 'e',
      dataCentre: 'akl-a',
      serves: {kind: 'service', service: 'missing'},
    },
  } as unknown as ObjectChange;
  const account = {
    kind: 'client_account',
    id: 'a',
    state: {id: 'a', requestClasses: ['x'], defaultRequestClass: 'missing'},
  } as unknown as ObjectChange;
  const requestClass = {
    kind: 'request_class',
    id: 'x',
    state: {id: 'x'},
  } as unknown as ObjectChange;
  const base = [DATA_CENTRE, requestClass];
  const {table} = submit(EMPTY_TABLE, ticketOf(1, ...base));
  const missing = [
    [POOL, 'refers to model/repair, which does not exist'],
    [endpoint, 'refers to service/missing, which does not exist'],
    [account, 'refers to request_class/missing, which does not exist'],
  ] as const;
  for (const [index, [change, message]] of missing.entries()) {
    const {outcome} = submit(table, ticketOf(2 + index, change));
    const faults = [{path: 'changes[0].state', message}];
    t.deepEqual(outcome, {kind: 'invalid', faults});
  }
});

test('tickets on different objects do not conflict', t => {
  for (const operators of [1, 4, 16]) {
    const options = {operators, rounds: 50, seed: 1};
    const kept = measureTickets({...options, strategy: 'dependency'});
    const global = measureTickets({...options, strategy: 'global'});
    t.log(operators, 'operators', JSON.stringify({kept, global}));
    t.is(kept.refused + kept.retried, 0);
    t.is(kept.accepted, 50 * operators);
    t.true(operators === 1 || global.retried > 0);
  }
});

test('an instance that stops gives the outcome of its last attempt', t => {
  // The table is unavailable while an instance shuts down, and seven more
  // attempts would take longer than that. The operator must get the answer that
  // the ticket may have taken effect, not a closed connection.
  const ticket = ticketOf(5, modelChange('repair', 100));
  let {state, effects} = beginTicket({ticket});
  ({state, effects} = transitionTicket(
    state,
    carryOut(EMPTY_TABLE, effects[0], 0).event,
  ));
  t.is(effects[0].kind, 'transact');
  ({state, effects} = transitionTicket(limitToThisAttempt(state), {
    kind: 'transaction_answered',
    call: effects[0].call,
    result: {kind: 'unknown', reason: 'no answer'},
    nowMs: 0,
  }));
  t.deepEqual(effects, []);
  t.deepEqual(state.outcome, {kind: 'unknown'});
});
