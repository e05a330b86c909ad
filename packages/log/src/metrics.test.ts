import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {StatsDMetrics} from './metrics.js';

async function listen() {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return {socket, port: (socket.address() as AddressInfo).port};
}

test('metrics go out over UDP with prefix and tags', async t => {
  const {socket, port} = await listen();
  t.teardown(() => socket.close());
  const metrics = new StatsDMetrics({
    host: '127.0.0.1',
    port,
    prefix: 'test.',
    globalTags: {instance: 'akl-a-1'},
  });
  const received = once(socket, 'message');
  metrics.count('requests', 2, {class: 'counter', outcome: 'ok'});
  metrics.timing('first_token_ms', 12, {class: 'counter'});
  metrics.gauge('revision', 3);
  await metrics.close();
  const [datagram] = (await received) as [Buffer];
  t.deepEqual(datagram.toString().trim().split('\n'), [
    'test.requests:2|c|#instance:akl-a-1,class:counter,outcome:ok',
    'test.first_token_ms:12|ms|#instance:akl-a-1,class:counter',
    'test.revision:3|g|#instance:akl-a-1',
  ]);
});

// The metrics server is down or restarting, so that sends fail or are lost. This
// must not affect the process.
test('an unreachable metrics server causes no errors', async t => {
  const {socket, port} = await listen();
  await new Promise<void>(resolve => socket.close(() => resolve()));
  const metrics = new StatsDMetrics({host: '127.0.0.1', port});
  for (let sent = 0; sent < 200; sent++) metrics.count('retries');
  await t.notThrowsAsync(metrics.close());
});
