import {ABSENT} from '@snipestage/types/store_version.js';
import {
  brandAs,
  type EndpointId,
  type FencingToken,
  type LeaseName,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {fenceKey} from './lease_rows.js';
import {explore} from './models/explore.js';
import {createLeaseModel} from './models/lease_model.js';
import {carryOut, EMPTY_TABLE, type TableModel} from './models/table_model.js';
import type {OrderContent} from './order_rows.js';
import {beginOrders, transitionOrders} from './orders.js';
import type {OrderAnswer, OrdersEvent, OrdersState} from './order_messages.js';

const LIMIT = 300_000;
const HELD = {fencingToken: brandAs<FencingToken>(1), fenceVersion: ABSENT};

function engineContent(checksFencing: boolean): OrderContent {
  const endpoint = brandAs<EndpointId>('akl-a-1');
  const order = {endpoint, action: 'change_role', role: 'decode'} as const;
  return {kind: 'engine', checksFencing, order};
}

/** Feeds events; orders get the answers in turn, and none once they run out. */
function run(
  events: OrdersEvent[],
  answers: OrderAnswer[],
  table: TableModel = EMPTY_TABLE,
) {
  let state: OrdersState = beginOrders(brandAs('orders/akl-a'));
  const seen: string[] = [];
  const queue = [...events];
  while (queue.length > 0) {
    const step = transitionOrders(state, queue.shift()!);
    state = step.state;
    for (const effect of step.effects) {
      seen.push(effect.kind);
      if (effect.kind === 'order') {
        const {call} = effect;
        const answer = answers.shift();
        queue.push(...(answer ? [orderAnswered(call, answer)] : []));
      } else if (effect.kind !== 'refused') {
        const done = carryOut(table, effect, 0);
        table = done.table;
        queue.push(done.event);
      }
    }
  }
  return {seen, state, table};
}

function orderAnswered(call: number, answer: OrderAnswer): OrdersEvent {
  return {kind: 'order_answered', call, answer};
}

test('an order is announced, sent until its result is known, and cleared', t => {
  const desired = {kind: 'desired', contents: [engineContent(false)]} as const;
  const acquired = {kind: 'acquired', held: HELD} as const;
  const {seen, table} = run(
    [acquired, desired],
    [{kind: 'unknown', reason: 'lost'}, {kind: 'not_sent'}, {kind: 'accepted'}],
  );
  const sending = ['order', 'wait', 'order', 'wait', 'order'];
  t.deepEqual(seen, ['scan', 'transact', ...sending, 'transact']);
  t.deepEqual(Object.keys(table), []);
});

test('an engine that checks tokens needs no intent; refusals are reported', t => {
  const desired = {kind: 'desired', contents: [engineContent(true)]} as const;
  const events = [{kind: 'acquired', held: HELD} as const, desired, desired];
  const refused = {kind: 'refused', reason: 'no memory'} as const;
  const {seen} = run(events, [refused, {kind: 'accepted'}]);
  t.deepEqual(seen, ['scan', 'order', 'refused']);
  const again = run([...events.slice(0, 2)], [{kind: 'stale_token'}]);
  t.is(again.state.term, undefined);
});

test('scans of open intents are repeated less and less often', t => {
  // Guards against ten scans a second by each lease holder while the table is
  // unavailable.
  let step = transitionOrders(beginOrders(brandAs('orders/akl-a')), {
    kind: 'acquired',
    held: HELD,
  });
  const delays: number[] = [];
  for (let count = 0; count < 7; count += 1) {
    step = transitionOrders(step.state, {
      kind: 'read_answered',
      call: step.state.call,
      result: {kind: 'unavailable', reason: 'down'},
      nowMs: 0,
    });
    const [effect] = step.effects;
    if (effect.kind === 'wait') delays.push(effect.delayMs);
    const {call} = step.state;
    step = transitionOrders(step.state, {kind: 'waited', call, nowMs: 0});
    t.is(step.effects[0].kind, 'scan');
  }
  t.deepEqual(delays, [100, 200, 400, 800, 1600, 2000, 2000]);
});

// A holder is paused with an order under way, another instance takes over and
// orders something else, then the first order arrives. It would, for example,
// order endpoints again that the later holder has just released.
test('a late order never reverts one of a later holder', t => {
  const sizes = [
    {lastToken: 2, losses: 0},
    {lastToken: 1, losses: 1},
  ];
  for (const size of sizes) {
    const model = createLeaseModel({...size, driftMs: 0, renewals: false});
    const {states, transitions, violation, trace} = explore(model, LIMIT);
    t.log(JSON.stringify(size), states, 'states', transitions, 'transitions');
    t.is(violation, undefined, JSON.stringify(trace));
  }
});

test('the model catches open intents that are not settled', t => {
  const mutant = createLeaseModel({
    losses: 0,
    driftMs: 0,
    renewals: false,
    mutateOrders: (event, state) =>
      event.kind === 'read_answered' && state.scanning
        ? {...event, result: {kind: 'rows', rows: []}}
        : event,
  });
  const {violation, trace} = explore(mutant, LIMIT);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(
    violation,
    'an order of an earlier holder took effect after a later one',
  );
});

// A holder is paused, and its lease goes to another, which changes the fence
// row. If the paused holder still wrote its intent row, its order would be sent,
// and the new holder would settle it after its own orders.
test('an order is neither announced nor sent once the lease has changed hands', t => {
  const lease = brandAs<LeaseName>('orders/akl-a');
  const taken = carryOut(
    EMPTY_TABLE,
    {
      kind: 'transact',
      call: 0,
      transaction: {
        checks: [],
        writes: [{key: fenceKey(lease), value: {fencingToken: 2}}],
      },
    },
    0,
  ).table;
  const {seen, table} = run(
    [
      {kind: 'acquired', held: HELD},
      {kind: 'desired', contents: [engineContent(false)]},
    ],
    [{kind: 'accepted'}],
    taken,
  );
  t.false(seen.includes('order'));
  t.deepEqual(Object.keys(table), [fenceKey(lease)]);
});
