import test from 'ava';
import got from 'got';
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

test('a transaction commits whole or not at all', async t => {
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

test('a wrong token is turned away', async t => {
  const {platform, client} = await startPlatform();
  const answer = await client.get('v1/instances', {
    headers: {authorization: 'Bearer other'},
  });
  t.is(answer.statusCode, 401);
  await platform.stop();
});

test('a window is reported with one set of figures only', async t => {
  const {platform, client} = await startPlatform();
  const report = (requests: number) =>
    client.post('v1/usage-reports', {json: {window: 'w1', lines: [requests]}});
  t.is((await report(1)).statusCode, 200);
  t.is((await report(1)).statusCode, 200);
  t.is((await report(2)).statusCode, 409);
  await platform.stop();
});

test('objects come back byte by byte', async t => {
  const {platform, client} = await startPlatform();
  const body = Buffer.from([0, 255, 7]);
  await client.put('v1/objects/answers/1%2F2', {body});
  const answer = await client.get('v1/objects/answers/1%2F2');
  t.deepEqual(answer.rawBody, body);
  t.is((await client.get('v1/objects/none')).statusCode, 404);
  await platform.stop();
});
