import test from 'ava';
import type {CellEndpoint} from './cell_messages.js';
import {CellOwner, type CellOwnerOptions} from './cell_owner.js';
import {createSeededRandom} from './random_source.js';
import {
  CELL,
  FIRST,
  SECOND,
  grantedOf,
  makePermitRequest,
  makeClass,
  makeEndpoint,
  makeRelease,
  refusedOf,
} from './test_fixtures.js';

function createOwner(
  endpoints: readonly CellEndpoint[],
  options: Partial<CellOwnerOptions> = {},
): CellOwner {
  const owner = new CellOwner({
    cell: CELL,
    random: createSeededRandom(1),
    startedAtMs: 0,
    graceMs: 0,
    standingAllotments: false,
    ...options,
  });
  const classes = [0, 1, 2].map(tier => makeClass(tier));
  owner.receive({kind: 'classes', classes}, 0);
  owner.receive({kind: 'endpoints', endpoints}, 0);
  return owner;
}

test('the lowest tier number is granted first, whatever came first', t => {
  const owner = createOwner([makeEndpoint('e1', {maxConcurrency: 1})]);
  const first = makePermitRequest('running');
  owner.receive({kind: 'ask', ask: first}, 0);
  for (const tier of [2, 1, 0]) {
    owner.receive(
      {kind: 'ask', ask: makePermitRequest(`waits-${tier}`, {tier})},
      1,
    );
  }
  const order: string[] = [];
  let attempt = 'running';
  for (let turn = 0; turn < 3; turn++) {
    const release = makeRelease(attempt, 'e1');
    const input = {kind: 'release', instance: FIRST, release} as const;
    [attempt] = grantedOf(owner.receive(input, 10 + turn));
    order.push(attempt);
  }
  t.deepEqual(order, ['waits-0', 'waits-1', 'waits-2']);
});

test('a repeated request gets the same answer and no second permit', t => {
  const owner = createOwner([makeEndpoint('e1', {maxConcurrency: 2})]);
  const ask = makePermitRequest('one');
  const before = owner.receive({kind: 'ask', ask}, 0);
  const again = owner.receive({kind: 'ask', ask}, 5);
  t.deepEqual(again, before);
  t.is(owner.snapshot(5).permits.length, 1);
});

test('a full queue refuses the newest of the lowest tier', t => {
  const owner = createOwner([makeEndpoint('e1', {maxConcurrency: 1})], {
    maxWaiting: 2,
  });
  const earlierOutputs = ['running', 'low-old', 'low-new'].flatMap(
    (name, index) =>
      owner.receive(
        {
          kind: 'ask',
          ask: makePermitRequest(name, {tier: index === 0 ? 0 : 2}),
        },
        index,
      ),
  );
  t.deepEqual(refusedOf(earlierOutputs), []);
  const ask = makePermitRequest('high', {tier: 0});
  t.deepEqual(refusedOf(owner.receive({kind: 'ask', ask}, 9)), [
    'low-new overloaded',
  ]);
});

test('a request that cannot be served in time is refused at once', t => {
  // A burst fills the queue. Without this a caller would wait until its
  // deadline only to be refused then.
  const owner = createOwner([makeEndpoint('e1', {maxConcurrency: 1})]);
  owner.receive({kind: 'ask', ask: makePermitRequest('a')}, 0);
  const release = makeRelease('a', 'e1');
  owner.receive({kind: 'release', instance: FIRST, release}, 1000);
  for (let index = 0; index < 5; index++) {
    owner.receive({kind: 'ask', ask: makePermitRequest(`b${index}`)}, 1000);
  }
  const ask = makePermitRequest('hurried', {remainingMs: 2000});
  const outputs = owner.receive({kind: 'ask', ask}, 1000);
  t.deepEqual(refusedOf(outputs), ['hurried deadline_unreachable']);
  const [output] = outputs;
  t.true(output.kind === 'refuse' && output.refusal.retryAfterMs >= 2000);
});

test('a request that no endpoint could ever run is refused at once', t => {
  const owner = createOwner([
    makeEndpoint('cheap', {kind: 'cheap'}),
    makeEndpoint('leaving', {leaving: true}),
  ]);
  const outputs = owner.receive({kind: 'ask', ask: makePermitRequest('a')}, 0);
  t.deepEqual(refusedOf(outputs), ['a no_endpoint']);
});

test('reports that arrive together do not make an engine look fast', t => {
  // Delayed frames arrive all at once. Measured by their arrival, no time
  // passes between the tokens; limits then rise to the maximum and all streams
  // slow down.
  const owner = createOwner([makeEndpoint('e1')]);
  const ask = makePermitRequest('a');
  owner.receive({kind: 'ask', ask}, 0);
  const report = (outputTokens: number, elapsedMs: number) => {
    const progress = [{attempt: ask.attempt, outputTokens, elapsedMs}];
    owner.receive({kind: 'progress', instance: FIRST, progress}, 3000);
  };
  report(10, 1000);
  report(20, 2000);
  report(21, 2010);
  owner.tick(3000);
  const [{betweenTokensMs}] = owner.snapshot(3000).endpoints;
  t.is(betweenTokensMs, 100);
});

test('a permit listed without underAllotment stays within its allotment', t => {
  // The field is lost in transit. If the permit counted in addition to the
  // allotment it is part of, each running request would take two permits.
  const owner = createOwner([makeEndpoint('e1')]);
  const permit = {...makePermitRequest('a'), endpoint: makeEndpoint('e1').id};
  const startedPermit = {...permit, outputTokens: 0, underAllotment: true};
  owner.receive(
    {kind: 'started', instance: FIRST, permits: [startedPermit]},
    0,
  );
  const listed = {...startedPermit, underAllotment: undefined};
  owner.receive({kind: 'in_use', instance: FIRST, permits: [listed]}, 1);
  t.true(owner.snapshot(1).permits[0].underAllotment);
});

test('a suspect runs alone', t => {
  // A request was in flight when its endpoint crashed. If it ran next to
  // others, the next crash would end their streams as well.
  const owner = createOwner([makeEndpoint('e1'), makeEndpoint('e2')]);
  const ask = makePermitRequest('suspect', {suspect: true});
  const [grant] = owner.receive({kind: 'ask', ask}, 0);
  t.is(grant.kind, 'grant');
  const endpoints = new Set<string>();
  for (let index = 0; index < 6; index++) {
    const other = makePermitRequest(`other-${index}`);
    for (const output of owner.receive({kind: 'ask', ask: other}, 1)) {
      if (output.kind === 'grant') endpoints.add(output.grant.endpoint);
    }
  }
  t.is(endpoints.size, 1);
  t.is(owner.snapshot(1).waiting, 2);
});

test('a suspect that has to wait does not hold up the one that holds an endpoint', t => {
  // Guards against suspects that are all refused at their deadline: the more
  // urgent one can't be placed, and the other is passed over.
  const owner = createOwner([makeEndpoint('e1', {maxConcurrency: 1})]);
  owner.receive({kind: 'ask', ask: makePermitRequest('running')}, 0);
  const holder = makePermitRequest('holder', {suspect: true, tier: 1});
  const urgent = makePermitRequest('urgent', {suspect: true, tier: 0});
  t.deepEqual(grantedOf(owner.receive({kind: 'ask', ask: holder}, 1)), []);
  t.deepEqual(grantedOf(owner.receive({kind: 'ask', ask: urgent}, 2)), []);
  const release = makeRelease('running', 'e1');
  const input = {kind: 'release', instance: FIRST, release} as const;
  t.deepEqual(grantedOf(owner.receive(input, 3)), ['holder']);
  const second = makeRelease('holder', 'e1');
  const next = {kind: 'release', instance: FIRST, release: second} as const;
  t.deepEqual(grantedOf(owner.receive(next, 4)), ['urgent']);
});

test('a new owner sends a message to each instance that joins', t => {
  const owner = createOwner([makeEndpoint('e1')], {graceMs: 1500});
  const joined = {kind: 'instance_joined', instance: FIRST} as const;
  t.deepEqual(
    owner.receive(joined, 0).map(({kind}) => kind),
    ['allot'],
  );
});

test('a new owner grants nothing until all instances report what runs', t => {
  // The former owner is lost while its endpoint is full. Granting at once would
  // double the load of the endpoint and miss every latency target.
  const owner = createOwner([makeEndpoint('e1', {maxConcurrency: 1})], {
    graceMs: 1500,
  });
  owner.receive({kind: 'instance_joined', instance: FIRST}, 0);
  owner.receive({kind: 'instance_joined', instance: SECOND}, 0);
  t.deepEqual(
    grantedOf(owner.receive({kind: 'ask', ask: makePermitRequest('new')}, 1)),
    [],
  );
  const running = makePermitRequest('old');
  const permit = {...running, endpoint: makeEndpoint('e1').id, outputTokens: 3};
  const inUseMessage = {
    kind: 'in_use',
    instance: FIRST,
    permits: [permit],
  } as const;
  owner.receive(inUseMessage, 2);
  owner.receive({kind: 'in_use', instance: SECOND, permits: []}, 3);
  t.is(owner.snapshot(4).holdingBack, false);
  t.deepEqual(grantedOf(owner.tick(5)), []);
  const release = makeRelease('old', 'e1');
  const input = {kind: 'release', instance: FIRST, release} as const;
  t.deepEqual(grantedOf(owner.receive(input, 6)), ['new']);
});
