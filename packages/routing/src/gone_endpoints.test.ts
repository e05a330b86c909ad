import test from 'ava';
import {brandAs} from '@snipestage/types/ids.js';
import {EndpointDirectory} from './endpoint_directory.js';
import type {EndpointAddress, ServingEndpoint} from './serving_endpoint.js';
import {makeEndpoint, REPAIR} from './test_support/fixtures.js';

const ONE = makeEndpoint('one');
const TWO = makeEndpoint('two', {
  address: brandAs<EndpointAddress>('127.0.0.1:2'),
});

function start(...listed: readonly ServingEndpoint[]): EndpointDirectory {
  const directory = new EndpointDirectory();
  directory.replace(listed, 0);
  return directory;
}

function idsAt(directory: EndpointDirectory, nowMs: number): string[] {
  return directory.findServing(REPAIR, nowMs).map(({id}) => id);
}

test('an endpoint whose address another one has gets no requests while its row is stale', t => {
  // Guards against requests that use up their offers at endpoints that are gone.
  const directory = start(ONE, TWO);
  t.true(directory.noteGone(ONE, 0));
  t.false(directory.noteGone(ONE, 1));
  for (const nowMs of [1, 5000, 9999]) {
    directory.replace([ONE, TWO], nowMs);
    t.deepEqual(idsAt(directory, nowMs), ['two']);
    t.false(directory.mayStillSend(ONE, nowMs));
    t.true(directory.mayStillSend(TWO, nowMs));
  }
  t.deepEqual([...directory.readAll()], [ONE, TWO]);
});

test('a single spoiled answer does not exclude an endpoint for good', t => {
  // Guards against the loss of a running endpoint for as long as it is listed.
  const directory = start(ONE, TWO);
  directory.noteGone(ONE, 0);
  t.deepEqual(idsAt(directory, 10_000), ['one', 'two']);
  t.true(directory.mayStillSend(ONE, 10_000));
  t.true(directory.noteGone(ONE, 10_100));
  t.deepEqual(idsAt(directory, 20_000), ['two']);
});

test('an endpoint that started again under its id gets requests at once', t => {
  // Guards against a start that is taken for the one before, which is gone.
  const directory = start(ONE);
  directory.noteGone(ONE, 0);
  t.deepEqual(idsAt(directory, 1), []);
  const startedAgain = {...ONE, bornEpochMs: 2};
  directory.apply([{kind: 'listed', endpoint: startedAgain}], 2);
  t.deepEqual(idsAt(directory, 2), ['one']);
  t.true(directory.mayStillSend(startedAgain, 2));
  // An answer to the start before says nothing of this one.
  t.false(directory.noteGone(ONE, 3));
  t.deepEqual(idsAt(directory, 3), ['one']);
});

test('an endpoint whose start is not known is tried again after two seconds', t => {
  // Guards against ten seconds without an endpoint that is back under its id.
  const unborn = makeEndpoint('one', {bornEpochMs: undefined});
  const directory = start(unborn);
  directory.noteGone(unborn, 0);
  t.deepEqual(idsAt(directory, 1999), []);
  t.deepEqual(idsAt(directory, 2000), ['one']);
});

test('an endpoint that is listed at another address gets requests there', t => {
  // Guards against what one address has shown being held against another.
  const directory = start(ONE);
  directory.noteGone(ONE, 0);
  const moved = {...ONE, address: TWO.address};
  directory.apply([{kind: 'listed', endpoint: moved}], 1);
  t.deepEqual(idsAt(directory, 1), ['one']);
});

test('the next owner of the address gets requests once it is listed', t => {
  // Guards against an address that stays unused after its endpoint has changed.
  const directory = start(ONE);
  directory.noteGone(ONE, 0);
  const next = makeEndpoint('next', {bornEpochMs: 2});
  directory.apply([{kind: 'listed', endpoint: next}], 1);
  t.deepEqual(idsAt(directory, 1), ['next']);
});
