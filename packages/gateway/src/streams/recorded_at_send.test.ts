import test from 'ava';
import {
  brandAs,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {composeStoreVersion} from '@snipestage/types/store_version.js';
import {RoutingState} from '../routing_state.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {waitUntil} from '../test_support/test_gateway.js';
import {streamKeyOf, streamRowKey, type StreamRun} from './stream_rows.js';
import {Streams} from './streams.js';

const SERVICE = brandAs<ServiceId>('s');
const ATTEMPT = brandAs<RequestId>('one');
const [RUN, OTHER_RUN] = ['run', 'other'].map(id => brandAs<StreamRun>(id));
const ROW_KEY = streamRowKey(streamKeyOf(undefined, ATTEMPT)!);

const originOf = (version: string) => ({
  service: SERVICE,
  softwareVersion: brandAs<SoftwareVersion>(version),
});

/** An instance that has learnt of two versions. */
function startStreams(platform: MemoryPlatform): Streams {
  const streams = new Streams({
    platform,
    state: new RoutingState({ratio: 1, windowMs: 1, slack: 1, floor: 1}),
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
  });
  const versions = ['v1', 'v2'].map(each => brandAs<SoftwareVersion>(each));
  const rowVersion = composeStoreVersion({era: 0, number: 1});
  streams.learnVersions(SERVICE, versions, rowVersion);
  return streams;
}

const resolveAt = (streams: Streams) =>
  streams.resolve({
    clientAccount: undefined,
    resumes: ATTEMPT,
    service: SERVICE,
  });

test('a stream is known to others before its first event', async t => {
  // Guards against a stream that ends with its instance although its engine
  // lives: its record was written after it had begun.
  const platform = new MemoryPlatform();
  t.true(
    startStreams(platform).noteSent(undefined, ATTEMPT, originOf('v1'), RUN),
  );
  await waitUntil(() => platform.rows.has(ROW_KEY));
  const resolved = await resolveAt(startStreams(platform));
  t.like(resolved, {kind: 'known', origin: originOf('v1'), source: 'record'});
});

test('a request sent to two versions is taken up at the second', async t => {
  // Guards against a stream that goes on at the version that a failed first
  // attempt was recorded for, or at none.
  const platform = new MemoryPlatform();
  const streams = startStreams(platform);
  void streams.noteSent(undefined, ATTEMPT, originOf('v1'), RUN);
  await waitUntil(() => platform.rows.has(ROW_KEY));
  t.true(await streams.noteSent(undefined, ATTEMPT, originOf('v2'), RUN));
  const expected = {kind: 'known', origin: originOf('v2')} as const;
  t.like(await resolveAt(startStreams(platform)), expected);
  streams.noteBegun(undefined, ATTEMPT, originOf('v2'));
  t.like(await resolveAt(streams), expected);
});

test('requests that name the same attempt at two versions are taken up at neither', async t => {
  // Guards against a stream that is resumed at the version of a namesake.
  for (const isElsewhere of [false, true]) {
    const platform = new MemoryPlatform();
    const first = startStreams(platform);
    void first.noteSent(undefined, ATTEMPT, originOf('v1'), RUN);
    await waitUntil(() => platform.rows.has(ROW_KEY));
    const second = isElsewhere ? startStreams(platform) : first;
    await second.noteSent(undefined, ATTEMPT, originOf('v2'), OTHER_RUN);
    await waitUntil(() => second.unrecorded === 0);
    t.is((await resolveAt(startStreams(platform))).kind, 'unknown');
  }
});

test('a request goes to no other version while its record can not be replaced', async t => {
  // Guards against a first event of a version other than the recorded one when
  // the store doesn't answer.
  const platform = new MemoryPlatform();
  const streams = startStreams(platform);
  void streams.noteSent(undefined, ATTEMPT, originOf('v1'), RUN);
  await waitUntil(() => platform.rows.has(ROW_KEY));
  platform.isAway = true;
  t.false(await streams.noteSent(undefined, ATTEMPT, originOf('v2'), RUN));
  t.true(
    streams.noteSent(undefined, brandAs<RequestId>('two'), originOf('v2'), RUN),
  );
});

test('a request that is sent twice to one version is recorded once', async t => {
  const platform = new MemoryPlatform();
  let calls = 0;
  const transact = platform.transact.bind(platform);
  platform.transact = transaction => {
    calls += 1;
    return transact(transaction);
  };
  const streams = startStreams(platform);
  for (let send = 0; send < 2; send += 1) {
    t.true(streams.noteSent(undefined, ATTEMPT, originOf('v1'), RUN));
    await waitUntil(() => platform.rows.has(ROW_KEY));
  }
  streams.noteBegun(undefined, ATTEMPT, originOf('v1'));
  await waitUntil(() => streams.unrecorded === 0);
  t.is(calls, 1);
});

test('what was recorded at the send is recorded again after a set-back', async t => {
  // Guards against a store whose copy names the version of an earlier attempt.
  const platform = new MemoryPlatform();
  const streams = startStreams(platform);
  void streams.noteSent(undefined, ATTEMPT, originOf('v1'), RUN);
  await waitUntil(() => platform.rows.has(ROW_KEY));
  const copy = platform.copy();
  t.true(await streams.noteSent(undefined, ATTEMPT, originOf('v2'), RUN));
  platform.setBack(copy);
  streams.noteSetBack();
  await waitUntil(() => streams.unrecorded === 0);
  t.like(await resolveAt(startStreams(platform)), {origin: originOf('v2')});
});
