import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import type {ReportedCrash} from './crash_records.js';
import {SuspectTable} from './suspects.js';

const MINUTE_MS = 60_000;

function part(name: string): PromptPartId {
  return brandAs<PromptPartId>(name);
}

/** A crash of an endpoint with these parts, seen by one instance. */
function crashOf(
  endpoint: string,
  parts: readonly string[],
  changes: Partial<ReportedCrash> = {},
): ReportedCrash {
  return {
    id: `akl-a-1/${endpoint}/${parts.join()}`,
    endpoint: brandAs<EndpointId>(endpoint),
    endpointIncarnation: 1,
    dataCentre: brandAs<DataCentreId>('akl-a'),
    ageMs: 0,
    inFlight: [],
    cleared: [],
    parts: parts.map(part),
    ...changes,
  };
}

function refused(table: SuspectTable, nowMs: number, ...names: string[]) {
  return names.filter(
    name => table.parts.classify([part(name)], nowMs).kind === 'refuse',
  );
}

test('a part is refused after three crashes of different requests', t => {
  // Guards against holding crashes against whole requests only.
  const table = new SuspectTable();
  table.merge([crashOf('e1', ['all', 'bad']), crashOf('e2', ['bad'])], 0);
  t.deepEqual(refused(table, 0, 'all', 'bad'), []);
  table.merge([crashOf('e3', ['bad', 'other'])], 0);
  t.deepEqual(refused(table, 0, 'all', 'bad', 'other'), ['bad']);
  t.like(table.parts.classify([part('all'), part('bad')], MINUTE_MS), {
    parts: [part('bad')],
    retryAfterMs: 9 * MINUTE_MS,
  });
  t.deepEqual(refused(table, 10 * MINUTE_MS, 'bad'), []);
});

test('an answer that begins clears its parts of earlier crashes only', t => {
  // Guards against refusing what sound requests share with bad ones, and
  // against trusting a part that crashes endpoints from some moment on.
  const table = new SuspectTable();
  for (const endpoint of ['e1', 'e2', 'e3'])
    table.merge([crashOf(endpoint, ['all', 'bad'])], 0);
  t.deepEqual(refused(table, 10, 'all', 'bad'), ['all', 'bad']);
  t.true(table.parts.noteBegun([part('all')], 20));
  t.false(table.parts.noteBegun([part('all')], 30));
  t.deepEqual(refused(table, 30, 'all', 'bad'), ['bad']);
  for (const endpoint of ['e4', 'e5', 'e6'])
    table.merge([crashOf(endpoint, ['all'])], 40);
  t.deepEqual(refused(table, 40, 'all'), ['all']);
});

test('a crash that is learnt late is cleared by an answer after it', t => {
  // Guards against reports that arrive after the answers that refute them.
  const table = new SuspectTable();
  table.parts.noteBegun([part('all')], 1000);
  const late = ['e1', 'e2', 'e3'].map(endpoint =>
    crashOf(endpoint, ['all', 'bad'], {ageMs: 500}),
  );
  table.mergePublished(late, 1200);
  t.deepEqual(refused(table, 1200, 'all', 'bad'), ['bad']);
  const [published] = table.takeChanges(1200);
  t.deepEqual(published.clearedParts, [part('all')]);
});

test('what one instance cleared counts for the same crash elsewhere', t => {
  // Guards against each instance having to see a sound answer of its own.
  const table = new SuspectTable();
  for (const endpoint of ['e1', 'e2', 'e3']) {
    const seen = crashOf(endpoint, ['all', 'bad']);
    const cleared = {clearedParts: [part('all')], id: `akl-b-1/${endpoint}`};
    table.merge([seen, {...seen, ...cleared}], 0);
  }
  t.deepEqual(refused(table, 0, 'all', 'bad'), ['bad']);
});

test('a part beside one in more crashes is not accused', t => {
  // Guards against refusing a rare sound part that was in the same crashes.
  const table = new SuspectTable();
  for (const endpoint of ['e1', 'e2', 'e3'])
    table.merge([crashOf(endpoint, ['rare', 'bad'])], 0);
  t.deepEqual(refused(table, 0, 'rare', 'bad'), ['rare', 'bad']);
  table.merge([crashOf('e4', ['bad'])], 0);
  t.deepEqual(refused(table, 0, 'rare', 'bad'), ['bad']);
});

test('what answers have begun with is accused after what none has', t => {
  // Guards against refusing all prompts, as their first part was in the crashes
  // of several bad ones.
  const table = new SuspectTable();
  table.parts.noteBegun([part('all')], 0);
  const crashes = ['bad', 'bad', 'bad', 'worse', 'worse', 'worst'].map(
    (name, index) => crashOf(`e${index}`, ['all', name]),
  );
  table.merge(crashes, 10);
  t.deepEqual(refused(table, 10, 'all', 'bad', 'worse'), ['bad']);
  const known = table.readAll(10);
  t.deepEqual(known[0].provenParts, [part('all')]);
  const isInDoubt = (name: string, endpoint: string) =>
    table.parts.isInDoubt([part(name)], brandAs<EndpointId>(endpoint));
  t.true(isInDoubt('all', 'e0'));
  t.false(isInDoubt('bad', 'e0'));
  t.false(isInDoubt('all', 'e5'), 'beside a part that came once');
});

test('a full table still takes a crash that is confirmed later', t => {
  // Guards against parts that crash one endpoint after the other unnoticed,
  // after many crashes by others: what was not confirmed at once was evicted.
  const table = new SuspectTable({maxCrashes: 8});
  for (let index = 0; index < 8; index += 1)
    table.merge([crashOf(`old-${index}`, ['old'])], index);
  for (const [index, name] of ['e1', 'e2', 'e3'].entries()) {
    const endpoint = brandAs<EndpointId>(name);
    const atMs = 1000 * (index + 1);
    table.noteBroken(
      {
        newId: () => name,
        endpoint,
        dataCentre: brandAs<DataCentreId>('akl-a'),
        inFlight: [],
        parts: [part('bad')],
      },
      atMs,
    );
    t.is(table.noteDown(endpoint, atMs + 100).length, 1);
  }
  t.deepEqual(refused(table, 4000, 'old', 'bad'), ['old', 'bad']);
});

test('broken answers take a quarter of a full table at most', t => {
  // Guards against a network that loses answers and makes the crashes of
  // refused parts forgotten.
  const table = new SuspectTable({maxCrashes: 8});
  for (let index = 0; index < 8; index += 1)
    table.merge([crashOf(`e${index}`, ['bad'])], index);
  for (let index = 0; index < 20; index += 1) {
    const lost = crashOf(`lost-${index}`, ['all'], {isConfirmed: false});
    table.merge([lost], 100);
  }
  t.is(table.size, 8);
  const confirmed = table.readAll(100).filter(each => each.isConfirmed);
  t.is(confirmed.length, 6);
});

test('a part that begins to crash endpoints is found beside new ones', t => {
  // Guards against explaining all crashes by parts that come only once.
  const table = new SuspectTable();
  table.parts.noteBegun([part('turned')], 0);
  for (let index = 0; index < 6; index += 1)
    table.merge([crashOf(`e${index}`, ['turned', `new-${index}`])], 10);
  t.deepEqual(refused(table, 10, 'turned', 'new-1'), ['turned']);
});

test('two parts that crash endpoints are both found', t => {
  // Guards against explaining crashes by the first part that is found.
  const table = new SuspectTable();
  for (const endpoint of ['e1', 'e2', 'e3', 'e4'])
    table.merge([crashOf(endpoint, ['bad'])], 0);
  for (const endpoint of ['e5', 'e6', 'e7'])
    table.merge([crashOf(endpoint, ['worse'])], 0);
  t.deepEqual(refused(table, 0, 'bad', 'worse'), ['bad', 'worse']);
});

test('broken answers of endpoints that stay up accuse no part', t => {
  // Guards against refusing prompts whose answers a network loses.
  const table = new SuspectTable();
  const lost = ['e1', 'e2', 'e3', 'e4'].map(endpoint =>
    crashOf(endpoint, ['all'], {isConfirmed: false}),
  );
  table.merge(lost, 0);
  t.deepEqual(refused(table, 0, 'all'), []);
});

test('a caller who makes up parts takes little memory', t => {
  // Guards against rows and tables that grow with what a caller sends.
  const table = new SuspectTable();
  const made = Array.from({length: 5000}, (_, index) => `made-${index}`);
  table.merge([crashOf('e1', ['bad', ...made])], 0);
  const [{parts = []}] = table.readAll(0);
  t.is(parts.length, 256);
  t.is(parts[0], part('bad'));
});
