import {
  composeStoreVersion,
  type StoreVersion,
} from '@snipestage/types/store_version.js';
import {
  credentials,
  makeGenericClientConstructor,
  status,
  type ServiceError,
} from '@grpc/grpc-js';
import test, {type ExecutionContext} from 'ava';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {makeRecordBatcher} from '../test_support/make_record_batcher.js';
import {CapturedLog} from '../test_support/captured_log.js';
import type {LoadReport} from './load_report.js';
import {RelayClient} from './relay_client.js';
import {readRelayMessage, RELAY_SERVICE} from './relay_messages.js';
import {RelayServer} from './relay_server.js';
import {TableCopy, type TableChanges} from './table_copy.js';
import {WriteBatcher} from './write_batcher.js';

/** A version of the first era. */
function versionOf(number: number): StoreVersion {
  return composeStoreVersion({era: 0, number});
}

async function startPair(
  t: ExecutionContext,
  silentAfterMs: number,
  writeTimeoutMs = 20_000,
) {
  const [port] = await pickFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const copies = {
    configuration: new TableCopy(),
    endpoints: new TableCopy(),
    shared: new TableCopy(),
  };
  copies.endpoints.replace([], versionOf(3));
  const {logger} = new CapturedLog();
  const platform = new MemoryPlatform();
  const writes = new WriteBatcher(platform);
  const reports: LoadReport[] = [];
  const onLoads = (report: LoadReport) => void reports.push(report);
  const server = new RelayServer({
    address,
    copies,
    writes,
    records: makeRecordBatcher(platform),
    onLoads,
    logger,
  });
  await server.start();
  t.teardown(() => server.stop());
  const received: TableChanges[] = [];
  const ends: string[] = [];
  const client = new RelayClient({
    address,
    request: {
      kind: 'follow',
      instance: brandAs<InstanceId>('follower'),
      known: {
        configuration: versionOf(0),
        endpoints: versionOf(3),
        shared: versionOf(0),
      },
    },
    silentAfterMs,
    writeTimeoutMs,
    onChanges: (_table, changes) => received.push(changes),
    onLoads,
    onEnd: ({reason}) => ends.push(reason),
  });
  t.teardown(() => client.close());
  return {
    server,
    address,
    copies,
    received,
    ends,
    client,
    platform,
    reports,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 10));
}

/** Confirms a table to the relay's followers until the condition holds. */
async function confirmUntil(
  server: RelayServer,
  condition: () => boolean,
): Promise<void> {
  while (!condition()) {
    server.confirm('endpoints', undefined);
    await new Promise(done => setTimeout(done, 20));
  }
}

test('a follower receives each change once, and confirmations without changes', async t => {
  const {server, copies, received} = await startPair(t, 20_000);
  await confirmUntil(server, () => received.length > 0);
  t.deepEqual(received[0], {
    since: versionOf(3),
    version: versionOf(3),
    rows: [],
  });
  const data = Buffer.from('x');
  copies.endpoints.apply(
    [{key: 'a', version: versionOf(4), data}],
    versionOf(4),
  );
  copies.endpoints.apply(
    [{key: 'b', version: versionOf(5), data: undefined}],
    versionOf(5),
  );
  server.confirm('endpoints', undefined);
  await waitUntil(() => received.some(({version}) => version === versionOf(5)));
  const rows = received.flatMap(changes => changes.rows);
  t.deepEqual(rows, [
    {key: 'a', version: versionOf(4), data},
    {key: 'b', version: versionOf(5), data: undefined},
  ]);
});

test('a follower notices when its relay stops', async t => {
  const {server, received, ends} = await startPair(t, 20_000);
  await confirmUntil(server, () => received.length > 0);
  server.stop();
  await waitUntil(() => ends.length > 0);
  t.is(ends.length, 1);
});

test('a stream without messages ends after a time-out', async t => {
  // To both ends the connection seems up, but nothing gets through.
  const {ends} = await startPair(t, 200);
  await waitUntil(() => ends.length > 0);
  t.deepEqual(ends, ['silent']);
});

test('a relay writes for its follower and reports whether the row was written', async t => {
  const {client, server, platform} = await startPair(t, 20_000);
  const row = {key: 'usage/1/follower', value: {counts: {shop: 3}}};
  t.true(await client.write(row));
  t.deepEqual(platform.rows.get(row.key)?.value, row.value);
  server.stop();
  t.false(await client.write({...row, key: 'usage/2/follower'}));
});

test('a write that takes too long is not known to have succeeded', async t => {
  // Guards against an instance that never writes because its relay is frozen.
  const {client} = await startPair(t, 20_000, 1);
  t.false(await client.write({key: 'usage/1/follower', value: {}}));
});

test('a relay writes only rows of counts', async t => {
  // Guards against a process on the relay's port that overwrites a lease.
  const {client, platform} = await startPair(t, 20_000);
  for (const key of ['leases/duties', 'shared/relay/akl-a/0', 'usage/x/y']) {
    t.false(await client.write({key, value: {}}));
  }
  t.deepEqual([...platform.rows.keys()], []);
});

test('a relay writes records of streams for its follower', async t => {
  const {client, server, platform} = await startPair(t, 20_000);
  const value = {service: 's', version: 'v1'};
  const records = ['a', 'b'].map(digit => ({
    key: `streams/${digit.repeat(32)}`,
    value,
  }));
  t.deepEqual(await client.record({records}), [true, true]);
  t.deepEqual(platform.rows.get(records[0].key)?.value, value);
  const other = {...records[0], value: {service: 's', version: 'v2'}};
  t.deepEqual(await client.record({records: [other]}), [false]);
  server.stop();
  t.is(await client.record({records}), undefined);
});

test('a relay writes only records of streams as such', async t => {
  // Guards against a process on the relay's port that overwrites a lease.
  const {client, platform} = await startPair(t, 20_000);
  const value = {service: 's', version: 'v1'};
  for (const key of [
    'leases/duties',
    'streams/x',
    `streams/${'A'.repeat(32)}`,
  ]) {
    t.is(await client.record({records: [{key, value}]}), undefined);
  }
  const key = `streams/${'a'.repeat(32)}`;
  t.is(
    await client.record({records: [{key, value: {holder: 'x'}}]}),
    undefined,
  );
  const many = Array.from({length: 46}, () => ({key, value}));
  t.is(await client.record({records: many}), undefined);
  t.deepEqual([...platform.rows.keys()], []);
});

test('a message that is too large does not affect other followers', async t => {
  // Guards against a process on the relay's port that fills its memory.
  const {client, server, received, platform} = await startPair(t, 20_000);
  const counts = Object.fromEntries(
    Array.from({length: 40_000}, (_, index) => [`account-${index}`, index]),
  );
  t.false(await client.write({key: 'usage/1/flood', value: {counts}}));
  await confirmUntil(server, () => received.length > 0);
  t.true(await client.write({key: 'usage/1/sound', value: {counts: {}}}));
  t.deepEqual([...platform.rows.keys()], ['usage/1/sound']);
});

test('a malformed message ends only its own stream', async t => {
  // Guards against a process that stops the relay with a message that lacks
  // fields.
  const {server, address, received} = await startPair(t, 20_000);
  const RawStub = makeGenericClientConstructor(RELAY_SERVICE, 'Relay');
  for (const message of [{}, {kind: 'follow'}, {kind: 'other'}]) {
    const raw = new RawStub(address, credentials.createInsecure());
    const stream = raw.follow();
    const ended = new Promise<ServiceError>(resolve =>
      stream.on('error', resolve),
    );
    stream.on('data', () => undefined);
    stream.write(message);
    t.is((await ended).code, status.INVALID_ARGUMENT);
    raw.close();
  }
  t.is(server.followerCount, 1);
  await confirmUntil(server, () => received.length > 0);
});

const UPDATE = {
  kind: 'rows',
  table: 'endpoints',
  since: 1,
  version: 2,
  rows: [{key: 'k', version: 2, data: ''}],
};

for (const [name, message] of [
  ['nothing', null],
  ['a text', 'rows'],
  ['no rows', {...UPDATE, rows: undefined}],
  ['rows of null', {...UPDATE, rows: [null]}],
  ['data of a number', {...UPDATE, rows: [{key: 'k', version: 2, data: 7}]}],
  ['a version beyond all integers', {...UPDATE, version: 1e300}],
  ['a table that is not relayed', {...UPDATE, table: '__proto__'}],
] as const) {
  test(`an update with ${name} is no message of a relay`, t => {
    // Guards against a process at a relay's address that ends its followers, or
    // with whose version they never take another update.
    t.is(readRelayMessage(message), undefined);
  });
}

test('a message of a relay is read as it is', t => {
  const message: unknown = UPDATE;
  t.is<unknown, unknown>(readRelayMessage(message), message);
});
