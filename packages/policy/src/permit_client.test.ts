import test from 'ava';
import type {CellOutput} from './cell_messages.js';
import type {ClientOutput} from './client_messages.js';
import {PermitClient} from './permit_client.js';
import {createSeededRandom} from './random_source.js';
import {
  CELL,
  FIRST,
  SECOND,
  makePermitRequest,
  makeClass,
  makeEndpoint,
  makeRelease,
} from './test_fixtures.js';

const ENDPOINT = makeEndpoint('e1');

function createClient(): PermitClient {
  const client = new PermitClient({
    cell: CELL,
    instance: FIRST,
    random: createSeededRandom(1),
  });
  client.configure({kind: 'classes', classes: [makeClass(0)]}, 0);
  client.configure({kind: 'endpoints', endpoints: [ENDPOINT]}, 0);
  client.configure({kind: 'instance_joined', instance: SECOND}, 0);
  return client;
}

function allot(permits: number, sequence: number): CellOutput {
  const endpoints = [{endpoint: ENDPOINT.id, permits}];
  const allotment = {cell: CELL, sequence, endpoints};
  return {kind: 'allot', instance: FIRST, allotment};
}

/** `start a`, `refused b`, `ask`, `in_use 1` and so on. */
function describe(outputs: readonly ClientOutput[]): string[] {
  return outputs.map(output => {
    if (output.kind !== 'tell_owner') return `${output.kind} ${output.attempt}`;
    const {input} = output;
    if (input.kind === 'ask') return `ask ${input.ask.attempt}`;
    if (input.kind === 'in_use') return `in_use ${input.permits.length}`;
    return input.kind;
  });
}

test('a request within the allotment starts, and one beyond it asks', t => {
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  client.receive(allot(1, 1), SECOND, 0);
  t.deepEqual(describe(client.request(makePermitRequest('a'), 1)), [
    'start a',
    'started',
  ]);
  t.deepEqual(describe(client.request(makePermitRequest('b'), 2)), ['ask b']);
});

test('a reduced allotment stops new starts but no running attempt', t => {
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  client.receive(allot(3, 1), SECOND, 0);
  client.request(makePermitRequest('a'), 1);
  t.deepEqual(describe(client.receive(allot(0, 2), SECOND, 2)), [
    'allotment_applied',
  ]);
  t.deepEqual(describe(client.request(makePermitRequest('b'), 3)), ['ask b']);
  t.is(client.snapshot(3).running, 1);
  client.receive(allot(3, 1), SECOND, 4);
  t.is(client.snapshot(4).allotment.sequence, 2);
});

test('a new owner gets the running attempts and the waiting requests', t => {
  // The owner's process is killed. Requests that waited there must not wait
  // until their deadline, and running streams must not be affected.
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  client.receive(allot(1, 1), SECOND, 0);
  client.request(makePermitRequest('runs'), 1);
  client.request(makePermitRequest('waits'), 2);
  const outputs = client.ownerChanged(FIRST, 10);
  t.deepEqual(describe(outputs), ['in_use 1', 'ask waits']);
});

test('an owner restarted under the same id gets the full state again', t => {
  // The owner's process dies, and another starts under its id before the loss
  // is detected. Its allotments are numbered from one again; if they were taken
  // for old ones and ignored, each request would have to ask the owner.
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  const ofTerm = (term: number, sequence: number) => {
    const output = allot(2, sequence);
    if (output.kind !== 'allot') throw new Error('not an allotment');
    return {...output, allotment: {...output.allotment, term}};
  };
  client.receive(ofTerm(1, 8), SECOND, 0);
  client.request(makePermitRequest('runs'), 1);
  const outputs = client.receive(ofTerm(2, 1), SECOND, 2);
  t.deepEqual(describe(outputs), ['in_use 1', 'allotment_applied']);
  t.is(client.snapshot(2).allotment.sequence, 1);
});

test('without an owner the instance runs up to its share of the limit', t => {
  // All other instances are cut off. Requests continue within this instance's
  // share of the endpoint's limit only, as the others do the same.
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  client.request(makePermitRequest('a'), 1);
  const outputs = client.ownerChanged(null, 10);
  t.deepEqual(describe(outputs), ['start a']);
  t.deepEqual(describe(client.request(makePermitRequest('b'), 11)), [
    'start b',
  ]);
  t.deepEqual(describe(client.request(makePermitRequest('c'), 12)), []);
  t.deepEqual(describe(client.release(makeRelease('a', 'e1'), 20)), [
    'start c',
  ]);
});

test('without an owner requests beyond the share wait by default', t => {
  // An option that is undefined must not replace its default: a cut-off
  // instance then refuses each request that can't start at once.
  const client = createClient();
  client.ownerChanged(null, 0);
  for (const attempt of ['a', 'b', 'c', 'd']) {
    client.request(makePermitRequest(attempt), 1);
  }
  t.is(client.snapshot(1).waiting, 2);
});

test('an owner that does not answer is bypassed until it does', t => {
  // The owner's process is frozen, and the membership has not detected it yet.
  // Callers would wait seconds for a grant that does not come.
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  client.request(makePermitRequest('a'), 0);
  t.deepEqual(describe(client.tick(299)), []);
  t.deepEqual(describe(client.tick(300)), ['ask a']);
  t.deepEqual(describe(client.tick(700)), ['ask a', 'start a']);
  const grant = {
    attempt: makePermitRequest('a').attempt,
    endpoint: ENDPOINT.id,
  };
  const thawed: CellOutput = {kind: 'grant', instance: FIRST, grant};
  t.deepEqual(describe(client.receive(thawed, SECOND, 1600)), ['in_use 1']);
});

test('a grant for a withdrawn request is returned', t => {
  // The caller hangs up while the grant is in transit. If the permit were not
  // returned, the endpoint would serve one request less for good.
  const client = createClient();
  client.ownerChanged(SECOND, 0);
  client.request(makePermitRequest('a'), 0);
  client.withdraw(makePermitRequest('a').attempt, 1);
  const grant = {
    attempt: makePermitRequest('a').attempt,
    endpoint: ENDPOINT.id,
  };
  const late: CellOutput = {kind: 'grant', instance: FIRST, grant};
  t.deepEqual(describe(client.receive(late, SECOND, 2)), ['release']);
});
