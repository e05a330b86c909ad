import test from 'ava';
import {EndpointDirectory} from './endpoint_directory.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import {makeEndpoint, REPAIR} from './test_support/fixtures.js';

const ONE = makeEndpoint('one');
const AKL_B = brandAs<DataCentreId>('akl-b');

function idsAt(directory: EndpointDirectory, nowMs: number): string[] {
  return directory.findServing(REPAIR, nowMs).map(({id}) => id);
}

test('an endpoint gets nothing once it is known to be leaving', t => {
  // Guards against answers that break off: a request is sent to an endpoint
  // that is about to stop.
  const directory = new EndpointDirectory();
  directory.apply([{kind: 'listed', endpoint: ONE}], 0);
  t.deepEqual(idsAt(directory, 0), ['one']);
  directory.apply([{kind: 'listed', endpoint: {...ONE, isLeaving: true}}], 1);
  t.deepEqual(idsAt(directory, 1), []);
});

test('a removed row removes its endpoint at once while the store works', t => {
  const directory = new EndpointDirectory();
  directory.apply([{kind: 'listed', endpoint: ONE}], 0);
  directory.apply([{kind: 'removed', id: ONE.id}], 5000);
  t.deepEqual(idsAt(directory, 5000), []);
});

test('endpoints whose rows expire in an outage of the store are kept for a while', t => {
  // Guards against two seconds of refusals after each outage: the store expired
  // rows that could not be renewed, and endpoints that are alive write them
  // again shortly afterwards.
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.noteDisturbance(9000);
  directory.replace([], 9100);
  t.deepEqual(idsAt(directory, 11_299), ['one']);
  t.deepEqual(idsAt(directory, 11_300), []);
});

test('an endpoint that left during a partition gets nothing soon after it', t => {
  // Guards against requests that break off at endpoints which drained and left
  // while this instance was cut off and the store was not. They would get them
  // if missing rows were kept from the moment at which they are found missing.
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.noteDisturbance(9000);
  directory.apply([{kind: 'removed', id: ONE.id}], 11_000);
  t.deepEqual(idsAt(directory, 11_200), ['one']);
  t.deepEqual(idsAt(directory, 11_300), []);
  directory.apply([{kind: 'listed', endpoint: ONE}], 12_000);
  directory.apply([{kind: 'removed', id: ONE.id}], 12_001);
  t.deepEqual(idsAt(directory, 12_001), []);
});

test('an endpoint whose row comes back in time is kept', t => {
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.noteDisturbance(9000);
  directory.replace([], 9100);
  directory.apply([{kind: 'listed', endpoint: ONE}], 10_000);
  t.deepEqual(idsAt(directory, 20_000), ['one']);
});

test('an outage does not bring back an endpoint that was leaving', t => {
  const directory = new EndpointDirectory();
  directory.replace([{...ONE, isLeaving: true}], 0);
  directory.noteDisturbance(9000);
  directory.replace([], 9100);
  t.is(directory.find(ONE.id), undefined);
});

test('an unreadable row removes its endpoint alone', t => {
  const directory = new EndpointDirectory();
  const two = makeEndpoint('two');
  directory.replace([ONE, two], 0);
  directory.apply([{kind: 'unreadable', id: ONE.id}], 1);
  t.deepEqual(idsAt(directory, 1), ['two']);
});

test('endpoints of an evacuated data centre get nothing until it is restored', t => {
  // Guards against requests to a data centre that its operator is emptying.
  const directory = new EndpointDirectory();
  const other = {...ONE, id: brandAs<EndpointId>('two'), dataCentre: AKL_B};
  directory.replace([ONE, other], 0);
  directory.setEvacuated(new Set([ONE.dataCentre]));
  t.deepEqual(idsAt(directory, 1), ['two']);
  const late = {...ONE, id: brandAs<EndpointId>('late')};
  directory.apply([{kind: 'listed', endpoint: late}], 2);
  t.deepEqual(idsAt(directory, 2), ['two']);
  directory.setEvacuated(new Set());
  t.deepEqual(idsAt(directory, 3), ['one', 'two', 'late']);
});

test('an announced leaving holds for one incarnation of an endpoint only', t => {
  // Guards against a new incarnation that gets nothing because the answer of
  // the one before arrived late.
  const directory = new EndpointDirectory();
  const started = {...ONE, bornEpochMs: 2};
  directory.replace([ONE], 0);
  t.true(directory.noteLeaving(ONE));
  t.false(directory.noteLeaving(ONE));
  t.deepEqual(idsAt(directory, 2), []);
  directory.replace([started], 3);
  t.false(directory.noteLeaving(ONE));
  t.deepEqual(idsAt(directory, 4), ['one']);
});

test('an announced leaving holds while the incarnation of an endpoint is not listed', t => {
  // Guards against requests to an endpoint that is about to stop, after a row
  // that lacks its incarnation.
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.noteLeaving(ONE);
  directory.replace([{...ONE, bornEpochMs: undefined}], 2);
  t.deepEqual(idsAt(directory, 2), []);
});

test('announcements of endpoints that are gone are forgotten after a while', t => {
  // Guards against memory that grows with each endpoint that leaves.
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.noteLeaving(ONE);
  directory.replace([], 2);
  directory.replace([ONE], 500_000);
  t.deepEqual(idsAt(directory, 500_000), []);
  directory.replace([], 500_001);
  directory.replace([], 1_100_002);
  directory.replace([ONE], 1_100_003);
  t.deepEqual(idsAt(directory, 1_100_003), ['one']);
});

test('an endpoint that said that it leaves is not taken for ready by an older list', t => {
  // Guards against requests to endpoints that are about to stop, since the
  // store was set back to a copy that lists them as ready.
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.apply([{kind: 'listed', endpoint: {...ONE, isLeaving: true}}], 1);
  directory.replace([ONE], 2);
  t.deepEqual(idsAt(directory, 2), []);
  const bornEpochMs = (ONE.bornEpochMs ?? 0) + 1;
  directory.replace([{...ONE, bornEpochMs}], 3);
  t.deepEqual(idsAt(directory, 3), ['one']);
});
