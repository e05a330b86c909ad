import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type Fingerprint,
} from '@snipestage/types/ids.js';
import test from 'ava';
import fc from 'fast-check';
import type {ReportedCrash} from './crash_records.js';
import {SuspectTable} from './suspects.js';

const SEED = 20_261_202;
const MINUTE_MS = 60_000;

/** `crashOf('e1', 'p', 'a')`: endpoint e1 crashes with p and a in flight. */
function crashOf(endpoint: string, ...inFlight: string[]): ReportedCrash {
  return {
    id: `akl-a-1/${endpoint}/${inFlight.join()}`,
    endpoint: brandAs<EndpointId>(endpoint),
    dataCentre: brandAs<DataCentreId>('akl-a'),
    ageMs: 0,
    inFlight: inFlight.map(print),
    cleared: [],
  };
}

function print(name: string): Fingerprint {
  return brandAs<Fingerprint>(name);
}

function decisionsOf(table: SuspectTable, nowMs: number, ...names: string[]) {
  return names.map(name => table.classify(print(name), nowMs).kind);
}

// A request crashes its engine, where other requests run too. Its caller sends
// it again, and it would crash the next engine as well.
test('a request that crashes endpoints is refused after two', t => {
  const table = new SuspectTable();
  table.merge([crashOf('e1', 'poison', 'a', 'b')], 0);
  t.deepEqual(decisionsOf(table, 0, 'poison', 'a', 'other'), [
    'run_alone',
    'run_alone',
    'clear',
  ]);
  table.markFinished(print('a'), 0);
  table.merge([crashOf('e2', 'poison')], 8000);
  t.deepEqual(decisionsOf(table, 8000, 'poison', 'a', 'b'), [
    'refuse',
    'clear',
    'run_alone',
  ]);
  t.like(table.classify(print('poison'), MINUTE_MS + 8000), {
    retryAfterMs: 9 * MINUTE_MS,
  });
});

test('the refusal ends first, then the crash is evicted', t => {
  const table = new SuspectTable();
  table.merge([crashOf('e1', 'p'), crashOf('e2', 'p')], 0);
  t.deepEqual(decisionsOf(table, 10 * MINUTE_MS - 1, 'p'), ['refuse']);
  t.deepEqual(decisionsOf(table, 10 * MINUTE_MS, 'p'), ['run_alone']);
  t.deepEqual(decisionsOf(table, 20 * MINUTE_MS, 'p'), ['clear']);
  t.is(table.size, 0);
});

// Two crashes follow so closely that the suspects of the first still run beside
// each other. Refusing all of them would refuse requests that caused no crash.
test('two requests in both crashes run alone until one is cleared', t => {
  const table = new SuspectTable();
  table.merge([crashOf('e1', 'p', 'a'), crashOf('e2', 'p', 'a')], 0);
  t.deepEqual(decisionsOf(table, 0, 'p', 'a'), ['run_alone', 'run_alone']);
  table.markFinished(print('a'), 0);
  t.deepEqual(decisionsOf(table, 0, 'p', 'a'), ['refuse', 'clear']);
});

// An endpoint crashes and the attempts there break off one by one; another
// instance had attempts there too. The last one reported must not be taken for
// one that ran alone, and be refused for a crash that another caused.
test('a crash reported in pieces is one crash with all their requests', t => {
  const table = new SuspectTable();
  const pieces = ['e1', 'e2'].flatMap(endpoint => [
    crashOf(endpoint, 'p', 'a'),
    crashOf(endpoint, 'a'),
    {...crashOf(endpoint, 'b'), id: `akl-a-2/${endpoint}`, ageMs: 100},
  ]);
  table.merge(pieces, 1000);
  t.deepEqual(decisionsOf(table, 1000, 'p', 'a', 'b'), [
    'run_alone',
    'run_alone',
    'run_alone',
  ]);
});

test('one crash that two instances saw counts once', t => {
  const table = new SuspectTable();
  const crash = crashOf('e1', 'p');
  table.merge([crash, {...crash, id: 'akl-a-2/e1', ageMs: 900}], 1000);
  t.deepEqual(decisionsOf(table, 1000, 'p'), ['run_alone']);
});

// The platform reclaims all cheap endpoints of a data centre at once. If every
// request from there had to run alone, most would miss their deadline.
test('a reclaim makes suspects only of requests at several endpoints', t => {
  const table = new SuspectTable();
  table.merge([crashOf('e1', 'a', 'p'), crashOf('e2', 'b')], 0);
  table.merge([crashOf('e3', 'c', 'p')], 3000);
  t.deepEqual(decisionsOf(table, 3000, 'a', 'b', 'c', 'p'), [
    'clear',
    'clear',
    'clear',
    'refuse',
  ]);
});

test('the table is bounded and evicts the oldest crash first', t => {
  const table = new SuspectTable({maxCrashes: 2});
  ['e1', 'e2', 'e3'].forEach((endpoint, index) =>
    table.merge([crashOf(endpoint, `p${index}`)], index * 10_000),
  );
  t.is(table.size, 2);
  t.deepEqual(decisionsOf(table, 30_000, 'p0', 'p2'), ['clear', 'run_alone']);
});

test('changes are sent to other instances once, clearances included', t => {
  const table = new SuspectTable();
  const other = new SuspectTable();
  table.merge([crashOf('e1', 'p', 'a')], 1000);
  other.merge(table.takeChanges(1500), 500_000);
  t.deepEqual(decisionsOf(other, 500_000, 'p'), ['run_alone']);
  t.deepEqual(table.takeChanges(1600), []);
  table.markFinished(print('a'), 1700);
  other.merge(table.takeChanges(1700), 500_300);
  t.deepEqual(decisionsOf(other, 500_300, 'a'), ['clear']);
  t.is(other.readAll(500_300)[0].ageMs, 800);
});

test('instances decide alike in whatever order crashes arrive', t => {
  const names = ['a', 'b', 'c', 'd'];
  const crash = fc
    .record({
      endpoint: fc.constantFrom('e1', 'e2', 'e3', 'e4'),
      inFlight: fc.uniqueArray(fc.constantFrom(...names), {minLength: 1}),
      cleared: fc.subarray(names),
      ageMs: fc.integer({min: 0, max: 30_000}),
    })
    .map(({endpoint, inFlight, cleared, ageMs}) => ({
      ...crashOf(endpoint, ...inFlight),
      id: `${endpoint}/${inFlight.join()}/${ageMs}`,
      cleared: cleared.map(print),
      ageMs,
    }));
  const property = fc.property(
    fc.array(crash, {maxLength: 8}),
    fc.infiniteStream(fc.integer({min: 0, max: 7})),
    (crashes, positions) => {
      const [inOrder, shuffled] = [new SuspectTable(), new SuspectTable()];
      inOrder.merge(crashes, 40_000);
      const rest = [...crashes];
      while (rest.length > 0) {
        const next = rest.splice(
          (positions.next().value ?? 0) % rest.length,
          1,
        );
        shuffled.merge(next, 40_000);
        shuffled.merge(next, 40_000);
      }
      t.deepEqual(
        decisionsOf(shuffled, 40_000, ...names),
        decisionsOf(inOrder, 40_000, ...names),
      );
    },
  );
  fc.assert(property, {seed: SEED});
  t.pass();
});

test('a crash while running alone counts even if the endpoint restarts fast', t => {
  // A request crashes an engine, which is back within a second, and crashes it
  // again while running there alone. If both counted as one crash, the request
  // could crash the engine again and again.
  const table = new SuspectTable();
  const crash = (number: number, atMs: number, alone: boolean) =>
    table.merge(
      [
        {
          id: `akl-a-1/life/${number}`,
          endpoint: brandAs('e1'),
          dataCentre: brandAs('akl-a'),
          ageMs: 0,
          inFlight: alone
            ? [brandAs('poison')]
            : [brandAs('poison'), brandAs('innocent')],
          alone,
          cleared: [],
        },
      ],
      atMs,
    );
  crash(1, 0, false);
  t.is(table.classify(brandAs('poison'), 100).kind, 'run_alone');
  crash(2, 1000, true);
  t.is(table.classify(brandAs('poison'), 1100).kind, 'refuse');
  t.is(table.classify(brandAs('innocent'), 1100).kind, 'run_alone');
});

test('two requests that crash endpoints side by side don’t acquit each other', t => {
  // Guards against two such requests that are at the same endpoints each time,
  // so that each may be the cause for ever.
  const table = new SuspectTable();
  for (const endpoint of ['e1', 'e2', 'e3']) {
    table.merge([crashOf(endpoint, 'p', 'q')], 0);
  }
  t.deepEqual(decisionsOf(table, 0, 'p', 'q'), ['refuse', 'refuse']);
});

test('crashes of a request in several data centres are no reclaims', t => {
  // Guards against a request whose crashes are taken for reclaims since other
  // endpoints of each data centre end beside it.
  const table = new SuspectTable();
  for (const dataCentre of ['akl-a', 'akl-b', 'akl-c']) {
    const crash = (name: string, ...inFlight: string[]) => ({
      ...crashOf(`${dataCentre}/${name}`, ...inFlight),
      dataCentre: brandAs<DataCentreId>(dataCentre),
    });
    const others = [crash('2', 'a'), crash('3', 'b')];
    table.merge([crash('1', 'p'), ...others], 0);
  }
  t.deepEqual(decisionsOf(table, 0, 'p'), ['refuse']);
});

function brokenAt(endpoint: string, ...inFlight: string[]) {
  return {
    newId: () => `here/${endpoint}/${inFlight.join()}`,
    endpoint: brandAs<EndpointId>(endpoint),
    dataCentre: brandAs<DataCentreId>('akl-a'),
    inFlight: inFlight.map(print),
  };
}

test('a broken answer alone is no crash', t => {
  // Guards against refusing callers that repeat a request because a network
  // loses answers of a healthy endpoint.
  const table = new SuspectTable({confirmWithinMs: 1000});
  const one = brandAs<EndpointId>('one');
  table.noteBroken(brokenAt('one', 'f'), 0);
  table.noteAnswered(one, 50);
  t.deepEqual(table.noteDown(one, 100), []);
  table.noteBroken(brokenAt('one', 'f'), 200);
  t.is(table.noteDown(one, 300).length, 1);
  table.noteBroken(brokenAt('two', 'f'), 400);
  t.deepEqual(table.noteDown(brandAs<EndpointId>('two'), 1500), []);
});

test('lost answers at any number of endpoints don’t suffice for a refusal', t => {
  // Guards against refusing a request whose answers a network has lost.
  const table = new SuspectTable();
  for (const endpoint of ['e1', 'e2', 'e3', 'e4']) {
    table.noteBroken(brokenAt(endpoint, 'f'), 0);
  }
  t.deepEqual(decisionsOf(table, 0, 'f'), ['run_alone']);
  t.deepEqual(decisionsOf(table, 10_000, 'f'), ['clear']);
});

test('an answer to a request from before a crash does not refute it', t => {
  // Guards against losing the evidence of a crash to an answer that was sent
  // before it and read after it.
  const table = new SuspectTable();
  const one = brandAs<EndpointId>('one');
  table.noteBroken(brokenAt('one', 'f'), 100);
  table.noteAnswered(one, 90);
  t.is(table.noteDown(one, 200).length, 1);
});

test('requests that break off at one endpoint share one crash', t => {
  // Guards against one crash that counts once for each request that breaks off.
  const table = new SuspectTable();
  table.noteBroken(brokenAt('e1', 'a'), 0);
  table.noteBroken(brokenAt('e1', 'b'), 10);
  t.is(table.size, 1);
  t.is(table.noteDown(brandAs<EndpointId>('e1'), 20).length, 1);
  t.deepEqual(decisionsOf(table, 20, 'a', 'b'), ['run_alone', 'run_alone']);
});

test('restarts of an endpoint under its id are crashes of their own', t => {
  // Guards against a request that crashes the same endpoint again and again
  // within the time in which several instances report one crash.
  const table = new SuspectTable();
  for (const endpointIncarnation of [1, 2]) {
    const crash = crashOf('e1', 'p');
    const id = `${crash.id}/${endpointIncarnation}`;
    table.merge([{...crash, id, endpointIncarnation}], 0);
  }
  t.deepEqual(decisionsOf(table, 0, 'p'), ['refuse']);
});

test('a request that keeps finishing elsewhere is not suspected', t => {
  // Guards against refusing requests that look alike, as those without a body
  // do, because some of them were at endpoints that crashed.
  const table = new SuspectTable();
  table.markFinished(print('alike'), 0);
  table.merge([crashOf('e1', 'alike'), crashOf('e2', 'alike')], 500);
  t.deepEqual(decisionsOf(table, 500, 'alike'), ['clear']);
});

test('what is published again is only what others don’t know', t => {
  // Guards against instances that send each other the same crashes for ever.
  const table = new SuspectTable();
  table.mergePublished([crashOf('e1', 'a')], 0);
  t.deepEqual(table.takeChanges(0), []);
  table.markFinished(print('b'), 0);
  table.mergePublished([crashOf('e2', 'b')], 0);
  t.deepEqual(table.takeChanges(0)[0].cleared, [print('b')]);
});

test('a full table keeps the crashes of requests that were in several', t => {
  // Guards against forgetting a refused request because many endpoints crash
  // for another reason.
  const table = new SuspectTable({maxCrashes: 4});
  table.merge([crashOf('e1', 'p')], 0);
  table.merge([crashOf('e2', 'p')], 10_000);
  for (let number = 3; number < 10; number += 1) {
    table.merge([crashOf(`e${number}`, `a${number}`)], number * 10_000);
  }
  t.deepEqual(decisionsOf(table, 100_000, 'p'), ['refuse']);
});
