import test from 'ava';
import {AgreedClock} from '@snipestage/routing/agreed_clock.js';
import {
  UsageWindows,
  type WindowNumber,
} from '@snipestage/routing/usage_windows.js';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {CapturedLog} from './test_support/captured_log.js';
import {countsKey, partialCountsKey} from './usage_rows.js';
import {UsageWriter, type UsageWriterOptions} from './usage_writer.js';

const WINDOW_MS = 5000;
const SHOP = brandAs<ClientAccountId>('shop');
const WINDOW = 200 as WindowNumber;
/** Long enough for several ticks of the writer. */
const SOME_TICKS_MS = 700;

/** Creates a writer one second into a window, with one request counted. */
function makeWriter(changes: Partial<UsageWriterOptions> = {}) {
  const epochMs = WINDOW * WINDOW_MS + 1000;
  const clock = new AgreedClock(0, epochMs);
  clock.noteReading({storeMs: 0, sentAtMs: 0, receivedAtMs: 0});
  clock.tie(epochMs);
  const windows = new UsageWindows(WINDOW_MS);
  windows.count(SHOP, epochMs);
  const platform = new MemoryPlatform();
  const output = new CapturedLog();
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

test('counts of the current window go to the relay in a separate row', async t => {
  // Guards against losing the counts of many instances that are killed at once.
  const batchedKeys: string[] = [];
  const {platform, writer} = makeWriter({
    hasBatchedWrites: () => true,
    writeBatched: async key => {
      batchedKeys.push(key);
      return true;
    },
  });
  await runFor(writer, SOME_TICKS_MS);
  t.deepEqual(batchedKeys, [partialCountsKey(WINDOW, 'one')]);
  await writer.stop();
  t.deepEqual([...platform.rows.keys()], [countsKey(WINDOW, 'one')]);
});

test('a failed relay causes no direct write for counts of the current window', async t => {
  // Guards against direct writes by dozens of instances when their relay is
  // lost.
  const {platform, writer} = makeWriter({
    hasBatchedWrites: () => true,
    writeBatched: async () => false,
  });
  await runFor(writer, SOME_TICKS_MS);
  t.is(platform.rows.size, 0);
  await writer.stop();
  t.is(platform.rows.size, 1);
});

test('nothing is written while the store is known to be unavailable', async t => {
  // Guards against a call by each instance in every second of an outage.
  let isUnavailable = true;
  const {platform, writer} = makeWriter({
    isStoreUnavailable: () => isUnavailable,
  });
  await runFor(writer, SOME_TICKS_MS);
  t.is(platform.rows.size, 0);
  isUnavailable = false;
  await new Promise(done => setTimeout(done, SOME_TICKS_MS));
  t.is(platform.rows.size, 1);
  await writer.stop();
});

test('a failed write is logged with its reason', async t => {
  // Guards against counts that are missing without a log line.
  const {platform, writer, output} = makeWriter();
  platform.nextFaults.push('away');
  await runFor(writer, SOME_TICKS_MS);
  await writer.stop();
  const lines = output.lines.filter(line => line.includes('usage_not_written'));
  t.is(lines.length, 1);
  t.true(lines[0].includes('"reason":"lost"'));
});

test('counts are written again after the store was set back', async t => {
  // Guards against windows that lack what was counted shortly before the store
  // was set back.
  const {platform, writer} = makeWriter({random: () => 0});
  const copy = platform.copy();
  await runFor(writer, SOME_TICKS_MS);
  const key = partialCountsKey(WINDOW, 'one');
  t.true(platform.rows.has(key));
  platform.setBack(copy);
  writer.rewrite();
  await new Promise(done => setTimeout(done, SOME_TICKS_MS));
  t.true(platform.rows.has(key));
  await writer.stop();
});
