import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {TestWorld, waitUntil} from './test_world.js';

const POOL = {
  kind: 'endpoint_pool',
  id: 'akl-a/repair',
  state: {
    id: 'akl-a/repair',
    dataCentre: 'akl-a',
    model: 'repair',
    minRegular: 2,
    maxRegular: 9,
    maxCheap: 0,
    maxConcurrencyPerEndpoint: 8,
    regularPricePerHour: 2,
    cheapPricePerHour: 1,
    enginesCheckFencing: true,
  },
};

async function startServer(t: ExecutionContext) {
  const socket = createSocket('udp4');
  let text = '';
  socket.on('message', message => {
    text += `${message.toString('utf8')}\n`;
  });
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  t.teardown(() => socket.close());
  return {port: socket.address().port, read: () => text};
}

test('metrics of requests and of the process reach a StatsD server', async t => {
  const {port, read} = await startServer(t);
  const world = await TestWorld.start({settings: {metrics: {port}}});
  t.teardown(() => world.close());
  await world.chat(0, 'hello');
  await world.chat(0, 'hello', {key: 'sk-unknown'});
  const expected = [
    /^snipestage\.requests:1\|c\|.*class:counter.*outcome:ok/m,
    /^snipestage\.refusals:1\|c\|.*code:invalid_api_key/m,
    /^snipestage\.first_token_ms:/m,
    /^snipestage\.platform_call_ms:/m,
    /^snipestage\.revision:1\|g/m,
  ];
  await waitUntil(() => expected.every(pattern => pattern.test(read())));
  t.notRegex(read(), /sk-/);
});

test('metrics of leases, orders, usage and endpoints reach a StatsD server', async t => {
  // Guards against described metrics on which an alarm never rings.
  const {port, read} = await startServer(t);
  const world = await TestWorld.start({
    settings: {
      metrics: {port},
      usage: {windowMs: 2000, graceMs: 1000, writeEveryMs: 500},
      lease: {termMs: 1500, renewEveryMs: 300, marginMs: 300},
    },
  });
  t.teardown(() => world.close());
  await world.submit([POOL]);
  await world.chat(0, 'hello');
  const expected = [
    /^snipestage\.lease_changes:1\|c\|.*lease:usage.*change:taken/m,
    /^snipestage\.endpoint_orders:1\|c\|.*kind:endpoints.*outcome:accepted/m,
    /^snipestage\.usage_windows:1\|c\|.*step:sealed/m,
    /^snipestage\.usage_windows:1\|c\|.*step:reported/m,
    /^snipestage\.endpoint_limit:\d+\|g\|.*endpoint:engine-1/m,
    /^snipestage\.suspects:0\|g\|.*state:refuse/m,
  ];
  await waitUntil(() => expected.every(pattern => pattern.test(read())));
  await world.entries[0].process.terminate();
  const handedOver = /^snipestage\.lease_changes:1\|c\|.*change:handed_over/m;
  await waitUntil(() => handedOver.test(read()));
  t.notRegex(read(), /change:lost/);
});
