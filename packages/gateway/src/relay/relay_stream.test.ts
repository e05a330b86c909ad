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
import {NoOutput} from '../test_support/no_output.js';
import type {LoadReport} from './load_report.js';
import {RelayClient} from './relay_client.js';
import {RELAY_SERVICE} from './relay_messages.js';
import {RelayServer} from './relay_server.js';
import {TableCopy, type TableChanges} from './table_copy.js';
import {WriteGatherer} from './write_gatherer.js';

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
  copies.endpoints.replace([], 3);
  const {logger} = new NoOutput();
  const platform = new MemoryPlatform();
  const writes = new WriteGatherer(platform);
  const reports: LoadReport[] = [];
  const onLoads = (report: LoadReport) => void reports.push(report);
  const server = new RelayServer({address, copies, writes, onLoads, logger});
  await server.start();
  t.teardown(() => server.stop());
  const received: TableChanges[] = [];
  const times: number[] = [];
  const ends: string[] = [];
  const client = new RelayClient({
    address,
    request: {
      kind: 'follow',
      instance: brandAs<InstanceId>('follower'),
      known: {configuration: 0, endpoints: 3, shared: 0},
    },
    silentAfterMs,
    pingEveryMs: 10,
    writeTimeoutMs,
    nowMs: () => performance.now(),
    onChanges: (_table, changes, asOfMs) => {
      received.push(changes);
      times.push(asOfMs);
    },
    onLoads,
    onEnd: ({reason}) => ends.push(reason),
  });
  t.teardown(() => client.close());
  return {
    server,
    address,
    copies,
    received,
    times,
    ends,
    client,
    platform,
    reports,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(done => setTimeout(done, 10));
}

/** The relay tells its followers again and again until one has heard it. */
async function confirmUntil(
  server: RelayServer,
  condition: () => boolean,
): Promise<void> {
  while (!condition()) {
    server.confirm('endpoints');
    await new Promise(done => setTimeout(done, 20));
  }
}

test('a follower hears each change once, and that there were none', async t => {
  const {server, copies, received} = await startPair(t, 20_000);
  await confirmUntil(server, () => received.length > 0);
  t.deepEqual(received[0], {since: 3, version: 3, rows: []});
  const data = Buffer.from('x');
  copies.endpoints.apply([{key: 'a', version: 4, data}], 4);
  copies.endpoints.apply([{key: 'b', version: 5, data: undefined}], 5);
  server.confirm('endpoints');
  await waitUntil(() => received.some(({version}) => version === 5));
  const rows = received.flatMap(changes => changes.rows);
  t.deepEqual(rows, [
    {key: 'a', version: 4, data},
    {key: 'b', version: 5, data: undefined},
  ]);
});

test('a follower notices when its relay stops', async t => {
  const {server, received, ends} = await startPair(t, 20_000);
  await confirmUntil(server, () => received.length > 0);
  server.stop();
  await waitUntil(() => ends.length > 0);
  t.is(ends.length, 1);
});

test('a stream that says nothing ends by itself', async t => {
  // The connection is up as far as both ends know, and nothing comes through.
  const {ends} = await startPair(t, 200);
  await waitUntil(() => ends.length > 0);
  t.deepEqual(ends, ['silent']);
});

test('a relay writes for its follower, and the follower knows whether it has', async t => {
  const {client, server, platform} = await startPair(t, 20_000);
  const row = {key: 'usage/1/follower', value: {counts: {shop: 3}}};
  t.true(await client.write(row));
  t.deepEqual(platform.rows.get(row.key)?.value, row.value);
  server.stop();
  t.false(await client.write({...row, key: 'usage/2/follower'}));
});

test('a write that takes too long counts as not known to be done', async t => {
  // Guards against an instance that never writes since its relay stands still.
  const {client} = await startPair(t, 20_000, 1);
  t.false(await client.write({key: 'usage/1/follower', value: {}}));
});

test('a word of the relay counts from the ping that it brings back', async t => {
  // Updates wait for seconds behind others on the relay's link. Were each taken
  // for the state of the store at its arrival, an endpoint that has long said
  // that it leaves would go on getting requests.
  const {server, received, times} = await startPair(t, 20_000);
  await confirmUntil(server, () => times.some(Number.isFinite));
  const last = times.at(-1)!;
  const count = received.length;
  // The relay makes an update, and nothing is read until much later.
  server.confirm('endpoints');
  const madeAtMs = performance.now();
  while (performance.now() - madeAtMs < 300);
  await waitUntil(() => received.length > count);
  t.true(times[count] >= last);
  t.true(times[count] <= madeAtMs);
});

test('a relay writes no rows but counts', async t => {
  // Guards against a process on the relay's port that overwrites a lease.
  const {client, platform} = await startPair(t, 20_000);
  for (const key of ['leases/duties', 'shared/relay/akl-a/0', 'usage/x/y']) {
    t.false(await client.write({key, value: {}}));
  }
  t.deepEqual([...platform.rows.keys()], []);
});

test('who sends too much at once harms no other follower', async t => {
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

test('messages that are none end their stream and nothing else', async t => {
  // Guards against a process on the relay's port that ends the relay by a message without its fields.
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
