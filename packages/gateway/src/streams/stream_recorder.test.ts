import test from 'ava';
import {
  brandAs,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {waitUntil} from '../test_support/test_gateway.js';
import {StreamRecorder} from './stream_recorder.js';
import {
  streamRowKey,
  type RecordedOrigin,
  type StreamKey,
} from './stream_rows.js';

const KEY = brandAs<StreamKey>('key');
const STREAMS = 200;

function originOf(version: string): RecordedOrigin {
  const service = brandAs<ServiceId>('s');
  const softwareVersion = brandAs<SoftwareVersion>(version);
  return {kind: 'origin', origin: {service, softwareVersion}};
}

function start(platform: MemoryPlatform, keepMs = 60_000): StreamRecorder {
  return new StreamRecorder({
    platform,
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
    countInstances: () => 1,
    keepMs,
  });
}

const valueOf = (platform: MemoryPlatform, key = KEY): unknown =>
  platform.rows.get(streamRowKey(key))?.value;

test('a record whose answer was lost is written once', async t => {
  // Guards against records that count as ambiguous since they were retried.
  const platform = new MemoryPlatform();
  platform.nextFaults.push('away', 'lose_answer');
  const recorder = start(platform);
  recorder.add(KEY, originOf('v1'));
  await waitUntil(() => recorder.waiting === 0);
  t.deepEqual(valueOf(platform), {service: 's', version: 'v1'});
});

test('a record is never replaced by another version', async t => {
  // Guards against a stream that is resumed at the version of a namesake.
  const platform = new MemoryPlatform();
  const [first, second] = [start(platform), start(platform)];
  first.add(KEY, originOf('v1'));
  await waitUntil(() => first.waiting === 0);
  second.add(KEY, originOf('v2'));
  await waitUntil(() => second.waiting === 0);
  t.deepEqual(valueOf(platform), {isAmbiguous: true});
});

test('load pattern: many streams begin at once', async t => {
  // Guards against a call to the store for each of them.
  const platform = new MemoryPlatform();
  let calls = 0;
  const transact = platform.transact.bind(platform);
  platform.transact = transaction => {
    calls += 1;
    return transact(transaction);
  };
  const recorder = start(platform);
  const keys = Array.from({length: STREAMS}, (_, index) =>
    brandAs<StreamKey>(`key-${index}`),
  );
  for (const key of keys) recorder.add(key, originOf('v1'));
  await waitUntil(() => recorder.waiting === 0);
  t.true(keys.every(key => valueOf(platform, key) !== undefined));
  t.true(calls <= STREAMS / 20);
});

test('records are removed once no caller can come back', async t => {
  // Guards against a store that fills up with the streams of all releases.
  const platform = new MemoryPlatform();
  const recorder = start(platform, 50);
  recorder.add(KEY, originOf('v1'));
  await waitUntil(() => recorder.waiting === 0);
  await new Promise(done => setTimeout(done, 60));
  const other = brandAs<StreamKey>('other');
  recorder.add(other, originOf('v1'));
  await waitUntil(() => valueOf(platform) === undefined);
  t.pass();
});

test('a record that comes late is logged with its delay', async t => {
  // Guards against logs that can't distinguish a late record from a missing one.
  const platform = new MemoryPlatform();
  const log = new CapturedLog();
  const recorder = new StreamRecorder({
    platform,
    logger: log.logger,
    nowMs: () => performance.now(),
    countInstances: () => 1,
    keepMs: 60_000,
  });
  platform.nextFaults.push('away');
  recorder.add(KEY, originOf('v1'));
  await waitUntil(() => recorder.waiting === 0);
  const late = log.lines.filter(line => line.includes('stream_records_late'));
  t.is(late.length, 1);
  t.true(JSON.parse(late[0]).longestMs >= 100);
});
