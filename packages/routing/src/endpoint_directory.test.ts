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

test('a leaving endpoint gets nothing from the moment it is known', t => {
  // An endpoint is about to go away for good. A request sent to it now may be
  // cut in the middle when it does.
  const directory = new EndpointDirectory();
  directory.apply([{kind: 'listed', endpoint: ONE}], 0);
  t.deepEqual(idsAt(directory, 0), ['one']);
  directory.apply([{kind: 'listed', endpoint: {...ONE, isLeaving: true}}], 1);
  t.deepEqual(idsAt(directory, 1), []);
});

test('a removed row ends its endpoint at once in calm times', t => {
  const directory = new EndpointDirectory();
  directory.apply([{kind: 'listed', endpoint: ONE}], 0);
  directory.apply([{kind: 'removed', id: ONE.id}], 5000);
  t.deepEqual(idsAt(directory, 5000), []);
});

test('rows that lapse in an outage of the store keep their endpoints', t => {
  // The store was away and expired the rows that nobody could renew. The
  // endpoints are alive and write theirs again in a moment; refusing meanwhile
  // would turn each outage into two seconds of refusals.
  const directory = new EndpointDirectory();
  directory.replace([ONE], 0);
  directory.noteDisturbance(9000);
  directory.replace([], 9100);
  t.deepEqual(idsAt(directory, 11_299), ['one']);
  t.deepEqual(idsAt(directory, 11_300), []);
});

test('an endpoint that left during a cut gets nothing for long after it', t => {
  // An instance was cut off and the store was not. Endpoints drained and left
  // meanwhile; kept for as long as lapsed ones from the moment they are missed,
  // they would get requests that break off.
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

test('a row that came back in time stays', t => {
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

test('a row that can not be read names no endpoint; the others hold', t => {
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
