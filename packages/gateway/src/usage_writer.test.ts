import test from 'ava';
import {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {
  UsageWindows,
  type WindowNumber,
} from '@snipestage/routing/usage_windows.js';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {NoOutput} from './test_support/no_output.js';
import {countsKey, partialCountsKey} from './usage_rows.js';
import {UsageWriter, type UsageWriterOptions} from './usage_writer.js';

const WINDOW_MS = 5000;
const SHOP = brandAs<ClientAccountId>('shop');
const WINDOW = 200 as WindowNumber;
/** The writer looks at its windows several times in it. */
const SOME_TICKS_MS = 700;

/** A writer a second into a window, with one request counted. */
function makeWriter(changes: Partial<UsageWriterOptions> = {}) {
  const epochMs = WINDOW * WINDOW_MS + 1000;
  const clock = new AgreedClock(0, epochMs);
  clock.noteReading({storeMs: 0, sentAtMs: 0, receivedAtMs: 0});
  clock.tie(epochMs);
  const windows = new UsageWindows(WINDOW_MS);
  windows.count(SHOP, epochMs);
  const platform = new MemoryPlatform();
  const output = new NoOutput();
  const startedAtMs = performance.now();
  const writer = new UsageWriter({
    platform,
    windows,
    clock,
    writer: 'one',
    windowMs: WINDOW_MS,
    writeEveryMs: () => 0,
    nowMs: () => performance.now() - startedAtMs,
    logger: output.logger,
    readDemands: () => ({}),
    ...changes,
  });
  return {platform, writer, output};
}

async function runFor(writer: UsageWriter, durationMs: number): Promise<void> {
  writer.start();
  await new Promise(done => setTimeout(done, durationMs));
}

test('counts of a window that runs go to the relay in a row of their own', async t => {
  // Guards against counts that are gone with many instances killed at once.
  const given: string[] = [];
  const {platform, writer} = makeWriter({
    hasBatchedWrites: () => true,
    writeBatched: async key => {
      given.push(key);
      return true;
    },
  });
  await runFor(writer, SOME_TICKS_MS);
  t.deepEqual(given, [partialCountsKey(WINDOW, 'one')]);
  await writer.stop();
  t.deepEqual([...platform.rows.keys()], [countsKey(WINDOW, 'one')]);
});

test('a relay that fails costs no call for counts of a window that runs', async t => {
  // Guards against dozens of instances that write alone when their relay is lost.
  const {platform, writer} = makeWriter({
    hasBatchedWrites: () => true,
    writeBatched: async () => false,
  });
  await runFor(writer, SOME_TICKS_MS);
  t.is(platform.rows.size, 0);
  await writer.stop();
  t.is(platform.rows.size, 1);
});

test('nothing is written while the store is known to be away', async t => {
  // Guards against a call of each instance every second of an outage.
  let isAway = true;
  const {platform, writer} = makeWriter({isStoreAway: () => isAway});
  await runFor(writer, SOME_TICKS_MS);
  t.is(platform.rows.size, 0);
  isAway = false;
  await new Promise(done => setTimeout(done, SOME_TICKS_MS));
  t.is(platform.rows.size, 1);
  await writer.stop();
});

test('a write that failed says why', async t => {
  // Guards against counts that are missing without a word in the logs.
  const {platform, writer, output} = makeWriter();
  platform.losses.push('away');
  await runFor(writer, SOME_TICKS_MS);
  await writer.stop();
  const lines = output.lines.filter(line => line.includes('usage_not_written'));
  t.is(lines.length, 1);
  t.true(lines[0].includes('"reason":"lost"'));
});
