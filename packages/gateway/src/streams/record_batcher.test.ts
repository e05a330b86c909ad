import test from 'ava';
import {
  brandAs,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {ABSENT} from '@snipestage/types/store_version.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {makeRecordBatcher} from '../test_support/make_record_batcher.js';
import {CallPace} from './call_pace.js';
import {MAX_RECORDS, type StreamRecord} from './record_batcher.js';
import {streamRowKey, type StreamKey} from './stream_rows.js';

function recordOf(key: string, version = 'v1'): StreamRecord {
  const service = brandAs<ServiceId>('s');
  const softwareVersion = brandAs<SoftwareVersion>(version);
  return {
    key: brandAs<StreamKey>(key),
    recorded: {kind: 'origin', origin: {service, softwareVersion}},
    replaces: ABSENT,
  };
}

const kinds = (results: ReadonlyArray<{readonly kind: string}>) =>
  results.map(({kind}) => kind);

test('a record that conflicts keeps no other from being written', async t => {
  // Guards against one caller that repeats an id and so delays the records of all
  // streams of a data centre.
  const platform = new MemoryPlatform();
  const batcher = makeRecordBatcher(platform);
  await batcher.write([recordOf('a'), recordOf('b')]);
  const again = [recordOf('a', 'v2'), recordOf('b'), recordOf('c')];
  const results = await batcher.write(again);
  t.deepEqual(kinds(results), ['conflict', 'written', 'written']);
  t.true(platform.rows.has(streamRowKey(brandAs<StreamKey>('c'))));
});

test('two records of a key in one batch are not both written', async t => {
  // Guards against a stream whose row holds the version of a namesake.
  const batcher = makeRecordBatcher(new MemoryPlatform());
  const results = await Promise.all(
    ['v1', 'v2'].map(version => batcher.write([recordOf('a', version)])),
  );
  t.deepEqual(kinds(results.flat()).sort(), ['conflict', 'written']);
});

test('the newest records are written first', async t => {
  // Guards against streams that end with their instance, as their records wait
  // behind those of streams that have ended already.
  const platform = new MemoryPlatform();
  const written: string[][] = [];
  const transact = platform.transact.bind(platform);
  platform.transact = transaction => {
    written.push(transaction.writes.map(({key}) => key));
    return transact(transaction);
  };
  const batcher = makeRecordBatcher(platform);
  const count = 2 * MAX_RECORDS;
  const names = Array.from({length: count}, (_, index) => `key-${index}`);
  await batcher.write(names.map(name => recordOf(name)));
  const [first] = written;
  t.is(first.length, MAX_RECORDS);
  t.true(first.includes(streamRowKey(brandAs<StreamKey>(names[count - 1]))));
});

test('calls beyond a burst are spaced out', t => {
  let nowMs = 0;
  const pace = new CallPace({
    nowMs: () => nowMs,
    intervalMs: () => 40,
    burst: () => 3,
  });
  t.deepEqual([pace.take(), pace.take(), pace.take()], [0, 0, 0]);
  t.deepEqual([pace.take(), pace.take()], [40, 80]);
  nowMs = 1000;
  t.deepEqual(
    [pace.take(), pace.take(), pace.take(), pace.take()],
    [0, 0, 0, 40],
  );
});
