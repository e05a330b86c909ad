import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import test, {type ExecutionContext} from 'ava';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {StoreTimeline} from '@snipestage/routing/store_timeline.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {makeRecordBatcher} from '../test_support/make_record_batcher.js';
import {RelayedFeed} from './relayed_feed.js';
import {RelayFollower} from './relay_follower.js';
import {RelayServer} from './relay_server.js';
import {TableCopy} from './table_copy.js';
import {WriteBatcher} from './write_batcher.js';

const FRESH_FOR_MS = 2000;
/** The store's clock is ahead of the instances' by this. */
const AHEAD_MS = 50_000;

const versionOf = (number: number): StoreVersion =>
  composeStoreVersion({era: 0, number});
const nowMs = () => performance.now();
const storeNowMs = () => nowMs() + AHEAD_MS;

function perTable<Item>(make: () => Item) {
  return {configuration: make(), endpoints: make(), shared: make()};
}

/** A relay and a follower that has read the store's clock. */
async function startPair(t: ExecutionContext) {
  const [port] = await pickFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const {logger} = new CapturedLog();
  const copies = perTable(() => new TableCopy());
  copies.endpoints.replace([], versionOf(3));
  const server = new RelayServer({
    address,
    copies,
    writes: new WriteBatcher(new MemoryPlatform()),
    records: makeRecordBatcher(new MemoryPlatform()),
    onLoads: () => undefined,
    logger,
  });
  await server.start();
  t.teardown(() => server.stop());
  const feeds = perTable(() => new RelayedFeed(FRESH_FOR_MS));
  const timeline = new StoreTimeline();
  timeline.note({
    storeMs: storeNowMs(),
    sentAtMs: nowMs(),
    receivedAtMs: nowMs(),
  });
  const follower = new RelayFollower({
    instance: brandAs<InstanceId>('follower'),
    copies,
    feeds,
    timeline,
    metrics: {observeUpdateAge: () => undefined},
    logger,
    nowMs,
    onLoads: () => undefined,
    onFailed: () => undefined,
  });
  t.teardown(() => follower.close());
  await follower.follow({instance: brandAs<InstanceId>('relay'), address});
  while (server.followerCount === 0) await pause(5);
  return {server, feed: feeds.endpoints};
}

function pause(forMs: number): Promise<void> {
  return new Promise(done => setTimeout(done, forMs));
}

test('an update that is read late is as old as the answer of the store', async t => {
  // Guards against requests to an endpoint that announced its leaving while an
  // update waited behind others.
  const {server, feed} = await startPair(t);
  const madeAtMs = nowMs();
  server.confirm('endpoints', storeNowMs());
  while (nowMs() - madeAtMs < 300);
  await feed.next(5000);
  t.true(feed.asOfMs <= nowMs() - 300, `${nowMs() - feed.asOfMs}`);
  t.true(feed.asOfMs > madeAtMs - 20);
});

test('an answer that its relay reads late is not confirmed as current', async t => {
  // Guards against a relay that stood still, or whose link is slow, and then
  // vouches for what the store said long before.
  const {server, feed} = await startPair(t);
  const madeAtMs = nowMs();
  const storeMs = storeNowMs();
  await pause(200);
  server.confirm('endpoints', storeMs);
  await feed.next(5000);
  t.true(feed.asOfMs <= madeAtMs + 1, `${nowMs() - feed.asOfMs}`);
  t.true(feed.isFresh(nowMs()));
  server.confirm('endpoints', storeNowMs());
  await feed.next(5000);
  t.true(feed.asOfMs > madeAtMs + 150);
});

test('an answer without the time of the store makes nothing current', async t => {
  // Guards against updates of relays of older versions, which state none.
  const {server, feed} = await startPair(t);
  server.confirm('endpoints', undefined);
  await feed.next(5000);
  t.false(feed.isFresh(nowMs()));
});
