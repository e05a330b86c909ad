import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import test from 'ava';
import {
  FollowedTable,
  type FollowedRow,
  type TableReading,
} from '../table_follower.js';
import {RelayedFeed} from './relayed_feed.js';
import {RelayedTable} from './relayed_table.js';
import {TableCopy} from './table_copy.js';

const FRESH_FOR_MS = 60;
const LONG_FRESH_FOR_MS = 60_000;

/** A version of the first era. */
function versionOf(number: number): StoreVersion {
  return composeStoreVersion({era: 0, number});
}

function row(key: string, version: number, text?: string): FollowedRow {
  return {
    key,
    version: versionOf(version),
    data: text === undefined ? undefined : Buffer.from(text),
  };
}

/** A store that counts its calls. */
class CountedTable extends FollowedTable {
  readonly name = 'counted';
  readonly waits: number[] = [];

  readAll(): Promise<TableReading> {
    return Promise.resolve({kind: 'history_gone'});
  }

  waitForChanges(since: StoreVersion, waitMs: number): Promise<TableReading> {
    this.waits.push(waitMs);
    const rows = [row('from the store', since + 1, 'x')];
    return Promise.resolve({
      kind: 'rows',
      rows,
      version: versionOf(since + 1),
      clock: undefined,
    });
  }
}

function makeTable(freshForMs = FRESH_FOR_MS) {
  const store = new CountedTable();
  const feed = new RelayedFeed(freshForMs);
  const table = new RelayedTable(store, feed, () => performance.now());
  return {store, feed, table};
}

function keysOf(reading: TableReading): string[] {
  return reading.kind === 'rows' ? reading.rows.map(({key}) => key) : [];
}

test('changes come from the relay, without a call to the store', async t => {
  // A turn of the loop may take longer than the usual validity.
  const {store, feed, table} = makeTable(LONG_FRESH_FOR_MS);
  feed.take(
    {since: versionOf(5), version: versionOf(5), rows: []},
    performance.now(),
  );
  const waiting = table.waitForChanges(versionOf(5), 1000);
  feed.take(
    {since: versionOf(5), version: versionOf(7), rows: [row('a', 7, 'x')]},
    performance.now(),
  );
  const reading = await waiting;
  t.deepEqual(keysOf(reading), ['a']);
  t.like(reading, {version: versionOf(7), isRelayed: true});
  t.deepEqual(store.waits, []);
});

test('a relay that falls silent is not taken for a store without changes', async t => {
  // The relay is frozen or cut off from the store. An endpoint has announced
  // its departure; without a poll of the store it would get requests for ever,
  // and with a long one over a silent connection for seconds.
  const {store, feed, table} = makeTable();
  feed.take(
    {since: versionOf(5), version: versionOf(5), rows: []},
    performance.now(),
  );
  const reading = await table.waitForChanges(versionOf(5), 10_000);
  t.deepEqual(keysOf(reading), ['from the store']);
  t.deepEqual(store.waits, [0]);
});

test('when the relay is lost, the store is polled at once', async t => {
  const {store, feed, table} = makeTable();
  feed.take(
    {since: versionOf(5), version: versionOf(5), rows: []},
    performance.now(),
  );
  const waiting = table.waitForChanges(versionOf(5), 10_000);
  feed.close();
  t.deepEqual(keysOf(await waiting), ['from the store']);
  t.deepEqual(store.waits, [0]);
});

test('changes made before the relay was followed are read from the store', async t => {
  // A change came between the last poll and the start of the stream. The relay
  // sends only later changes; the gap must not be skipped.
  const {store, feed, table} = makeTable();
  feed.take(
    {since: versionOf(9), version: versionOf(9), rows: []},
    performance.now(),
  );
  t.deepEqual(keysOf(await table.waitForChanges(versionOf(5), 1000)), [
    'from the store',
  ]);
  t.deepEqual(store.waits, [0]);
});

test('a gap is detected when a relay has lost its own history', async t => {
  const {store, feed, table} = makeTable();
  feed.take(
    {since: versionOf(5), version: versionOf(6), rows: [row('a', 6, 'x')]},
    performance.now(),
  );
  feed.take(
    {since: versionOf(9), version: versionOf(9), rows: []},
    performance.now(),
  );
  await table.waitForChanges(versionOf(6), 1000);
  t.deepEqual(store.waits, [0]);
});

test('a copy returns changes since a version, removed rows included', t => {
  const copy = new TableCopy();
  copy.replace([row('a', 3, 'x'), row('b', 4, 'x')], versionOf(4));
  copy.apply([row('a', 5), row('c', 6, 'x')], versionOf(6));
  const changes = copy.changesSince(versionOf(4));
  t.deepEqual(
    changes.rows.map(({key, data}) => [key, data !== undefined]),
    [
      ['a', false],
      ['c', true],
    ],
  );
  t.like(changes, {since: versionOf(4), version: versionOf(6)});
});

test('a copy returns no changes from before its first read', t => {
  const copy = new TableCopy();
  copy.replace([row('a', 3, 'x')], versionOf(4));
  t.deepEqual(copy.changesSince(versionOf(2)), {
    since: versionOf(4),
    version: versionOf(4),
    rows: [],
  });
  t.deepEqual(copy.changesSince(versionOf(7)), {
    since: versionOf(4),
    version: versionOf(4),
    rows: [],
  });
});

test('a copy drops old removals and raises the version it is complete since', t => {
  const copy = new TableCopy();
  copy.replace([], versionOf(1));
  for (let version = 2; version < 700; version += 1) {
    copy.apply([row(`key-${version}`, version)], versionOf(version));
  }
  t.is(copy.changesSince(versionOf(2)).since, versionOf(699));
  t.is(copy.changesSince(versionOf(650)).rows.length, 49);
});

test('an update that was delayed for long does not make the feed fresh', async t => {
  const {store, feed, table} = makeTable();
  feed.take(
    {since: versionOf(5), version: versionOf(5), rows: []},
    performance.now() - 2 * FRESH_FOR_MS,
  );
  await table.waitForChanges(versionOf(5), 10_000);
  t.deepEqual(store.waits, [10_000]);
});

// Guards against a withdrawn key that is honoured since the last confirmation was under way for long.
test('the store is polled when a confirmation expires that arrived late', async t => {
  const {store, feed, table} = makeTable(1000);
  const asOfMs = performance.now() - 800;
  feed.take({since: versionOf(5), version: versionOf(5), rows: []}, asOfMs);
  await table.waitForChanges(versionOf(5), 10_000);
  const ageMs = performance.now() - asOfMs;
  t.deepEqual(store.waits, [0]);
  t.true(ageMs < 1500, `${ageMs}`);
});

// Guards against a withdrawn key that is honoured since a new wait began before the last confirmation expired.
test('the store is polled when a confirmation expires during the next wait', async t => {
  const {store, feed, table} = makeTable(1000);
  const asOfMs = performance.now();
  feed.take({since: versionOf(5), version: versionOf(5), rows: []}, asOfMs);
  await table.waitForChanges(versionOf(5), 800);
  await table.waitForChanges(versionOf(5), 10_000);
  const ageMs = performance.now() - asOfMs;
  t.deepEqual(store.waits, [0]);
  t.true(ageMs < 1500, `${ageMs}`);
});

test('updates without a date are applied and not kept', async t => {
  // Guards against memory that fills with the updates of a relay of an older
  // version, which don't say how old they are.
  const {feed, table} = makeTable();
  for (let number = 5; number < 500; number += 1) {
    const rows = [row('a', number + 1, 'x')];
    feed.take(
      {since: versionOf(number), version: versionOf(number + 1), rows},
      Number.NEGATIVE_INFINITY,
    );
  }
  const reading = await table.waitForChanges(versionOf(5), 1000);
  t.like(reading, {isRelayed: true, version: versionOf(500)});
  t.false(feed.hasRows);
  feed.take(
    {since: versionOf(500), version: versionOf(501), rows: [row('a', 501)]},
    Number.NEGATIVE_INFINITY,
  );
  await table.waitForChanges(versionOf(600), 1000);
  t.false(feed.hasRows);
});

test('an aborted poll ends although the store never answers', async t => {
  // Guards against a stopped instance whose process can't exit: its poll would
  // wait again and again for a relay.
  class SilentTable extends CountedTable {
    override waitForChanges(): Promise<TableReading> {
      return new Promise(() => undefined);
    }
  }
  const feed = new RelayedFeed(FRESH_FOR_MS);
  const table = new RelayedTable(new SilentTable(), feed, () =>
    performance.now(),
  );
  const stopping = new AbortController();
  const polled = table.waitForChanges(versionOf(5), 60_000, stopping.signal);
  stopping.abort();
  t.like(await polled, {kind: 'unavailable'});
});

test('an aborted wait for the relay ends at once', async t => {
  const {store, feed, table} = makeTable(60_000);
  feed.take(
    {since: versionOf(5), version: versionOf(5), rows: []},
    performance.now(),
  );
  const stopping = new AbortController();
  const polled = table.waitForChanges(versionOf(5), 60_000, stopping.signal);
  stopping.abort();
  t.like(await polled, {kind: 'unavailable'});
  t.deepEqual(store.waits, []);
});
