import {SuspectTable} from '@snipestage/policy/suspects.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type PromptPartId,
} from '@snipestage/types/ids.js';
import test from 'ava';
import {GatewayMetrics} from './gateway_metrics.js';
import {PartGuard} from './part_guard.js';
import {CapturedLog} from './test_support/captured_log.js';
import {MemoryPlatform} from './test_support/memory_platform.js';

const BAD = brandAs<PromptPartId>('bad');
const ALL = brandAs<PromptPartId>('all');

/** An instance that knows of three crashes with the part. */
function makeGuard(platform: MemoryPlatform): {
  readonly guard: PartGuard;
  readonly table: SuspectTable;
  skippedMs: number;
} {
  const table = new SuspectTable();
  const crashes = ['e1', 'e2', 'e3'].map(endpoint => ({
    id: endpoint,
    endpoint: brandAs<EndpointId>(endpoint),
    dataCentre: brandAs<DataCentreId>('akl-a'),
    ageMs: 0,
    inFlight: [],
    cleared: [],
    parts: [BAD],
  }));
  table.merge(crashes, 0);
  const made = {table, skippedMs: 0};
  const guard = new PartGuard({
    suspects: table.parts,
    platform,
    logger: new CapturedLog().logger,
    metrics: new GatewayMetrics(),
    nowMs: () => made.skippedMs,
  });
  return Object.assign(made, {guard});
}

test('one instance of several tries a part that is suspect', async t => {
  // Guards against trials of all instances at once, each of which may crash an
  // endpoint.
  const platform = new MemoryPlatform();
  const guards = Array.from({length: 9}, () => makeGuard(platform).guard);
  const admissions = await Promise.all(
    guards.map(guard => guard.admit([ALL, BAD])),
  );
  const admitted = admissions.filter(({kind}) => kind === 'admitted');
  t.deepEqual(admitted, [{kind: 'admitted', trial: [BAD]}]);
  t.deepEqual(
    admissions.find(({kind}) => kind === 'refused'),
    {kind: 'refused', parts: [BAD], retryAfterMs: 1000},
  );
  t.deepEqual(await guards[0].admit([ALL]), {kind: 'admitted', trial: []});
});

test('a refusal says when the next trial may be made', async t => {
  // Guards against callers that come back too early, or only when they can't
  // use the answer any more.
  const made = makeGuard(new MemoryPlatform());
  t.like(await made.guard.admit([BAD]), {kind: 'admitted'});
  made.skippedMs = 1500;
  t.like(await made.guard.admit([BAD]), {retryAfterMs: 3500});
  made.skippedMs = 4900;
  t.like(await made.guard.admit([BAD]), {retryAfterMs: 1000});
});

test('a trial that no endpoint got may be made again at once', async t => {
  // Guards against trials that are used up while all endpoints are down.
  const {guard} = makeGuard(new MemoryPlatform());
  for (let number = 0; number < 5; number += 1) {
    t.like(await guard.admit([BAD]), {kind: 'admitted', trial: [BAD]});
    t.like(await guard.admit([BAD]), {kind: 'refused'});
    await guard.returnTrial([BAD]);
  }
});

test('a part is not tried while the store gives no answer', async t => {
  // Guards against trials of each instance that is cut off from the store.
  const platform = new MemoryPlatform();
  platform.isAway = true;
  const {guard} = makeGuard(platform);
  t.like(await guard.admit([BAD]), {kind: 'refused'});
  platform.isAway = false;
  t.like(await guard.admit([BAD]), {kind: 'admitted', trial: [BAD]});
});

test('a request is sent on only with the parts of its trial', t => {
  // Guards against requests that were admitted before a part became suspect.
  const {guard, table} = makeGuard(new MemoryPlatform());
  t.false(guard.mayRun([ALL, BAD]));
  t.true(guard.mayRun([ALL, BAD], [BAD]));
  t.true(guard.mayRun([ALL]));
  table.parts.noteBegun([BAD], 10);
  t.true(guard.mayRun([ALL, BAD]));
});

test('a trial that passes lets the next suspicion be tried at once', async t => {
  // Guards against parts that are cleared and keep their used-up trials.
  const {guard, table} = makeGuard(new MemoryPlatform());
  t.like(await guard.admit([BAD]), {kind: 'admitted', trial: [BAD]});
  t.is(guard.retryAfterMs([BAD]), 5000);
  await guard.passTrial([BAD]);
  t.like(await guard.admit([BAD]), {kind: 'admitted', trial: [BAD]});
  table.parts.noteBegun([BAD], 10);
  t.is(guard.retryAfterMs([BAD]), 0);
});
