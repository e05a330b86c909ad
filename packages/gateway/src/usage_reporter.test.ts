import test from 'ava';
import {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import type {WindowNumber} from '@snipestage/routing/usage_windows.js';
import {
  brandAs,
  type FencingToken,
  type LeaseName,
} from '@snipestage/types/ids.js';
import type {DutyTerm} from './duty_term.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {NoOutput} from './test_support/no_output.js';
import {countsKey, partialCountsKey} from './usage_rows.js';
import {UsageReporter, type UsageReporterOptions} from './usage_reporter.js';

const LEASE = brandAs<LeaseName>('duties');
const WINDOW_MS = 5000;

/** A reporter that holds the lease under a token, at a time of day. */
function makeReporter(
  platform: MemoryPlatform,
  token: number,
  epochMs: number,
  onRows?: UsageReporterOptions['onRows'],
  nowMs: () => number = () => 0,
) {
  const clock = new AgreedClock(0, epochMs);
  clock.noteReading({storeMs: 0, sentAtMs: 0, receivedAtMs: 0});
  clock.tie(epochMs);
  const signal = new AbortController().signal;
  const fencingToken = brandAs<FencingToken>(token);
  const term = {
    token: fencingToken,
    guard: () => ({mayStillSend: () => true, signal}),
  } as unknown as DutyTerm;
  const version = platform.rows.get('fences/duties')?.version ?? 0;
  return new UsageReporter({
    platform,
    lease: {
      held: {
        fencingToken,
        fenceVersion: version,
        termEndsAtMs: 9e9,
        renewedAtMs: 0,
        followsRelease: false,
      },
    },
    leaseName: LEASE,
    term,
    clock,
    windowMs: WINDOW_MS,
    dueAfterMs: 10_000,
    nowMs,
    logger: new NoOutput().logger,
    onRows,
  });
}

async function writeCounts(
  platform: MemoryPlatform,
  window: number,
  writer: string,
  count: number,
  isFinal = true,
): Promise<void> {
  const key = countsKey(window as WindowNumber, writer);
  const value = {counts: {shop: count}, isFinal};
  await platform.transact({checks: [], writes: [{key, value}]});
}

async function takeFence(platform: MemoryPlatform): Promise<void> {
  const write = {key: 'fences/duties', value: {}};
  await platform.transact({checks: [], writes: [write]});
}

function figures(platform: MemoryPlatform): string[] {
  return platform.reports.map(
    ({window, lines}) => `${window}: ${lines[0].requests}`,
  );
}

test('the counts of all instances make one figure', async t => {
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  await writeCounts(platform, 100, 'b', 4);
  const reporter = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  for (let tick = 0; tick < 12; tick++) await reporter.tick();
  t.deepEqual(figures(platform), ['100: 7']);
});

test('a successor reports the same figure, whatever came in meanwhile', async t => {
  // The holder sealed a window, reported it and was killed before it could tell
  // anybody. Late counts came in. Another figure for the same window would make
  // two bills of one.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  const first = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  for (let tick = 0; tick < 12; tick++) await first.tick();
  platform.rows.delete('progress/usage');
  await writeCounts(platform, 100, 'late', 5);
  await takeFence(platform);
  const second = makeReporter(platform, 2, 101 * WINDOW_MS + 9000);
  for (let tick = 0; tick < 12; tick++) await second.tick();
  t.deepEqual(figures(platform), ['100: 3', '100: 3']);
});

test('a successor leaves out what is known to be reported', async t => {
  // After an outage several windows are due within a second. Reports that were
  // accepted long ago would push those behind them past their time.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  const first = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  for (let tick = 0; tick < 12; tick++) await first.tick();
  await writeCounts(platform, 101, 'a', 5);
  await takeFence(platform);
  const second = makeReporter(platform, 2, 102 * WINDOW_MS + 4000);
  await second.tick();
  t.deepEqual(figures(platform), ['100: 3', '101: 5']);
});

test('a seal whose answer was lost is read back, not made anew', async t => {
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  const reporter = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  // Windows before have no counts: a read and a scan each, then this one's.
  for (let tick = 0; tick < 6; tick++) await reporter.tick();
  const transact = platform.transact.bind(platform);
  let lost = 0;
  platform.transact = async transaction => {
    const result = await transact(transaction);
    lost += 1;
    return lost === 1 ? {kind: 'unknown', reason: 'lost'} : result;
  };
  await writeCounts(platform, 100, 'b', 4);
  for (let tick = 0; tick < 6; tick++) await reporter.tick();
  t.is(platform.reports.length, 1);
  t.is([...platform.rows.keys()].filter(key => key === 'seals/100').length, 1);
});

test('a holder whose fence has changed seals nothing', async t => {
  // It was suspended while another took over. Its seal would fix a figure in the
  // name of a lease that it no longer has.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  const stale = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  await takeFence(platform);
  for (let tick = 0; tick < 12; tick++) await stale.tick();
  t.deepEqual(platform.reports, []);
  t.false(platform.rows.has('seals/100'));
});

test('an instance that still counts is waited for, but not for ever', async t => {
  // An instance is cut off from the store for some seconds, with forty requests
  // that it could not write down. Sealed at once, they would never be billed.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  await writeCounts(platform, 100, 'cut-off', 1, false);
  const early = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  for (let tick = 0; tick < 12; tick++) await early.tick();
  t.deepEqual(platform.reports, []);
  const late = makeReporter(platform, 1, 101 * WINDOW_MS + 8600);
  for (let tick = 0; tick < 12; tick++) await late.tick();
  t.deepEqual(figures(platform), ['100: 4']);
});

test('counts that come in after an outage are waited for while more come', async t => {
  // Guards against a window that is sealed by the first who write at the store's
  // return: the holder looks at it for the first time when it is nearly due.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  await writeCounts(platform, 100, 'b', 1, false);
  let atMs = 0;
  const reporter = makeReporter(
    platform,
    1,
    101 * WINDOW_MS + 6600,
    undefined,
    () => atMs,
  );
  for (let tick = 0; tick < 12; tick++) await reporter.tick();
  t.deepEqual(platform.reports, [], 'at the first look');
  await writeCounts(platform, 100, 'b', 5);
  await writeCounts(platform, 100, 'c', 1, false);
  atMs = 1001;
  await reporter.tick();
  t.deepEqual(platform.reports, [], 'one more was there');
  atMs = 1600;
  await reporter.tick();
  t.deepEqual(platform.reports, [], 'within the pause between two looks');
  atMs = 2002;
  await reporter.tick();
  t.deepEqual(figures(platform), ['100: 9']);
});

test('demand is told only when every instance has written', async t => {
  // Some instances are cut off from the store for a while. The sum of the others
  // would be taken for the demand of all; the engines would be split anew on all
  // instances, and again after the cut, each time away from their caches.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'a', 3);
  await writeCounts(platform, 100, 'b', 4);
  await writeCounts(platform, 101, 'a', 3);
  const told: number[] = [];
  const reporter = makeReporter(platform, 1, 102 * WINDOW_MS + 9000, rows =>
    told.push(rows.length),
  );
  for (let tick = 0; tick < 12; tick++) await reporter.tick();
  t.deepEqual(figures(platform), ['100: 7', '101: 3']);
  t.deepEqual(told, [2]);
});

test('of an instance that was killed what it had counted so far is billed', async t => {
  // Guards against windows that are off by all that many killed instances held.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  await writeCounts(platform, 100, 'sound', 3);
  const killed = partialCountsKey(100 as WindowNumber, 'killed');
  const both = partialCountsKey(100 as WindowNumber, 'sound');
  const value = {counts: {shop: 2}, isFinal: false};
  const writes = [killed, both].map(key => ({key, value}));
  await platform.transact({checks: [], writes});
  const early = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  for (let tick = 0; tick < 12; tick++) await early.tick();
  t.deepEqual(figures(platform), [], 'the killed one might write its whole');
  const late = makeReporter(platform, 1, 101 * WINDOW_MS + 9000);
  for (let tick = 0; tick < 12; tick++) await late.tick();
  t.deepEqual(figures(platform), ['100: 5']);
});

test('counts of a reported window are removed, in as many steps as it takes', async t => {
  // Guards against a table that grows by hundreds of rows every few seconds.
  const platform = new MemoryPlatform();
  await takeFence(platform);
  for (let writer = 0; writer < 200; writer += 1) {
    await writeCounts(platform, 100, `i${writer}`, 1);
  }
  const reporter = makeReporter(platform, 1, 101 * WINDOW_MS + 4000);
  for (let tick = 0; tick < 12; tick++) await reporter.tick();
  t.deepEqual(figures(platform), ['100: 200']);
  const counts = [...platform.rows.values()].filter(
    ({key, value}) => key.startsWith('usage/') && value !== null,
  );
  t.deepEqual(counts, []);
  t.not(platform.rows.get('seals/100'), undefined);
});
