import {brandAs, type DataCentreId} from '@snipestage/types/ids.js';
import test from 'ava';
import got from 'got';
import {EngineStandIn} from '../engine/engine_stand_in.js';
import {PlatformStandIn} from './platform_stand_in.js';

async function startPlatform() {
  const platform = new PlatformStandIn();
  await platform.start();
  const client = got.extend({
    prefixUrl: platform.url,
    headers: {authorization: `Bearer ${platform.token}`},
    retry: {limit: 0},
    throwHttpErrors: false,
  });
  return {platform, client};
}

test('a transaction commits if its checks hold, otherwise it returns the rows that failed them', async t => {
  const {platform, client} = await startPlatform();
  const write = (checks: object[]) =>
    client.post('v1/table/transact', {
      json: {checks, writes: [{key: 'a/1', value: {n: 1}}]},
    });
  const first = await write([{key: 'a/1', version: 0}]);
  t.deepEqual(JSON.parse(first.body), {versions: {'a/1': 1}});
  const second = await write([{key: 'a/1', version: 0}]);
  t.is(second.statusCode, 409);
  t.deepEqual(JSON.parse(second.body), {
    rows: [{key: 'a/1', version: 1, value: {n: 1}}],
  });
  const scan = await client
    .post('v1/table/scan', {json: {prefix: 'a/'}})
    .json<{rows: unknown[]}>();
  t.is(scan.rows.length, 1);
  await platform.stop();
});

test('a call with a wrong token is answered 401', async t => {
  const {platform, client} = await startPlatform();
  const answer = await client.get('v1/instances', {
    headers: {authorization: 'Bearer other'},
  });
  t.is(answer.statusCode, 401);
  await platform.stop();
});

test('a second report of a window with other figures is refused', async t => {
  const {platform, client} = await startPlatform();
  const report = (requests: number) =>
    client.post('v1/usage-reports', {json: {window: 'w1', lines: [requests]}});
  t.is((await report(1)).statusCode, 200);
  t.is((await report(1)).statusCode, 200);
  t.is((await report(2)).statusCode, 409);
  await platform.stop();
});

test('objects are returned byte for byte', async t => {
  const {platform, client} = await startPlatform();
  const body = Buffer.from([0, 255, 7]);
  await client.put('v1/objects/answers/1%2F2', {body});
  const answer = await client.get('v1/objects/answers/1%2F2');
  t.deepEqual(answer.rawBody, body);
  t.is((await client.get('v1/objects/none')).statusCode, 404);
  await platform.stop();
});

test('a write takes effect although its answer is lost, for matching keys only', async t => {
  const {platform, client} = await startPlatform();
  const write = (key: string) =>
    client.post('v1/table/transact', {
      json: {checks: [], writes: [{key, value: 1}]},
    });
  platform.control({
    faults: {table: {mode: 'lose_answer', count: 1, keyPrefix: 'lease/'}},
  });
  t.is((await write('usage/1')).statusCode, 200);
  await t.throwsAsync(write('lease/1'), {code: 'ECONNRESET'});
  t.is(platform.table.read(['lease/1']).length, 1);
  t.is((await write('lease/1')).statusCode, 200);
  await platform.stop();
});

test('lists show changes only after the lag', async t => {
  const {platform, client} = await startPlatform();
  const instance = {id: 'akl-a-1', dataCentre: 'akl-a', state: 'live'};
  const list = () => client.get('v1/instances').json<object>();
  await client.post('control', {json: {instances: [instance]}});
  await client.post('control', {json: {listLagMs: 60_000, instances: []}});
  t.deepEqual(await list(), {items: [instance]});
  await client.post('control', {json: {listLagMs: 0}});
  t.deepEqual(await list(), {items: []});
  await platform.stop();
});

test('a repeated order adds no endpoints and cheap endpoints can be reclaimed', async t => {
  const platform = new PlatformStandIn({
    endpoints: {makeEndpoint: () => new EngineStandIn(), startDelayMs: 0},
  });
  await platform.start();
  const order = (id: string, targetCount: number) =>
    got.post(`${platform.url}/v1/endpoint-orders`, {
      headers: {authorization: `Bearer ${platform.token}`, 'x-instance': 'i1'},
      json: {
        id,
        dataCentre: 'akl-a',
        model: 'repair',
        kind: 'cheap',
        targetCount,
        release: [],
        fencingToken: 1,
      },
      throwHttpErrors: false,
    });
  await order('o1', 2);
  await order('o1', 2);
  const isLive = () =>
    platform.provisioner.listed.every(({state}) => state === 'live');
  while (!isLive()) await new Promise(setImmediate);
  t.is(platform.provisioner.listed.length, 2);
  t.is(platform.log.orders[1].headers['x-instance'], 'i1');
  platform.control({reclaimCheap: brandAs<DataCentreId>('akl-a')});
  t.deepEqual(platform.provisioner.listed, []);
  platform.control({cheapAvailable: false});
  t.is((await order('o2', 2)).statusCode, 422);
  await platform.stop();
});
