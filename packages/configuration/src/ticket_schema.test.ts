import test from 'ava';
import {checkTicket} from './ticket_schema.js';

const CLASS = {
  id: 'counter',
  tier: 1,
  firstTokenTargetMs: 500,
  betweenTokensTargetMs: 60,
  deadlineMs: 30_000,
  guaranteedShare: 0.05,
  cheapEndpointsAllowed: false,
};
const ACCOUNT = {
  id: 'gear-menders',
  keyHashes: [`sha256:${'a'.repeat(64)}`],
  requestClasses: ['counter'],
  defaultRequestClass: 'counter',
};
const ENDPOINT = {
  id: 'akl-a-repair-1',
  dataCentre: 'akl-a',
  kind: 'regular',
  url: 'http://10.0.0.7:8000',
  serves: {kind: 'model', model: 'repair'},
  maxConcurrency: 8,
  leaving: false,
};
const POOL = {
  id: 'akl-a/repair',
  dataCentre: 'akl-a',
  model: 'repair',
  minRegular: 1,
  maxRegular: 4,
  maxCheap: 2,
  maxConcurrencyPerEndpoint: 8,
  regularPricePerHour: 4,
  cheapPricePerHour: 1,
  enginesCheckFencing: true,
};

function ticketOf(...changes: unknown[]) {
  return {number: 1, author: 'mere', reason: 'first classes', changes};
}

function change(kind: string, state: {id: string; [field: string]: unknown}) {
  return {kind, id: state.id, state};
}

function pathsOf(input: unknown): string[] {
  const checked = checkTicket(input);
  return 'faults' in checked ? checked.faults.map(fault => fault.path) : [];
}

test('a ticket with an object of each kind and a removal is accepted', t => {
  const ticket = ticketOf(
    change('data_centre', {id: 'akl-a', region: 'nz-north'}),
    change('request_class', CLASS),
    change('client_account', ACCOUNT),
    change('model', {id: 'repair', typicalOutputTokens: 200}),
    change('service', {id: 'bookings', operations: [], timeoutMs: 5000}),
    change('endpoint', ENDPOINT),
    change('endpoint_pool', POOL),
    {kind: 'endpoint', id: 'akl-a-repair-0', state: null},
  );
  t.deepEqual(checkTicket(ticket), {ticket} as never);
});

test('faults of all changes are reported together, each with its path', t => {
  const paths = pathsOf({
    ...ticketOf(
      change('request_class', {...CLASS, tier: 100, guaranteedShare: 0.3}),
      change('client_account', {...ACCOUNT, defaultRequestClass: 'quotes'}),
      change('endpoint', {...ENDPOINT, url: 'http://engine.example:8000'}),
      change('endpoint_pool', {...POOL, id: 'akl-b/repair'}),
      {kind: 'endpoint', id: 'other', state: ENDPOINT},
      {kind: 'endpoint', id: 'other', state: null},
    ),
    number: 0,
    autor: 'mere',
  });
  t.deepEqual(paths.sort(), [
    'autor',
    'changes[0].state.guaranteedShare',
    'changes[0].state.tier',
    'changes[1].state.defaultRequestClass',
    'changes[2].state.url',
    'changes[3].state.id',
    'changes[4].state.id',
    'changes[5]',
    'number',
  ]);
});

test('breaking a shared rule within one ticket is a fault of the ticket', t => {
  const shares = ['a', 'b', 'c'].map(id =>
    change('request_class', {...CLASS, id, guaranteedShare: 0.2}),
  );
  const accounts = ['one', 'one.two'].map(id =>
    change('client_account', {...ACCOUNT, id}),
  );
  t.deepEqual(pathsOf(ticketOf(...shares, ...accounts)), [
    'changes[4].state.keyHashes[0]',
    'changes',
  ]);
});

for (const url of [
  'ftp://10.0.0.1:8000',
  'http://10.0.0.1:8000/v1',
  'http://user@10.0.0.1:8000',
  'not a url',
]) {
  test(`an endpoint can't have the url ${url}`, t => {
    t.deepEqual(pathsOf(ticketOf(change('endpoint', {...ENDPOINT, url}))), [
      'changes[0].state.url',
    ]);
  });
}

test('input that is not a ticket is reported with the path of the fault', t => {
  t.deepEqual(pathsOf('ticket'), ['']);
  t.deepEqual(pathsOf(ticketOf()), ['changes']);
  t.deepEqual(pathsOf(ticketOf({kind: 'modle', id: 'x', state: null})), [
    'changes[0].kind',
  ]);
});
