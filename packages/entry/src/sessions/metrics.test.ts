import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import test from 'ava';
import {TestWorld, waitUntil} from './test_world.js';

test('metrics of requests and of the process reach a StatsD server', async t => {
  const socket = createSocket('udp4');
  let text = '';
  socket.on('message', message => {
    text += `${message.toString('utf8')}\n`;
  });
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  t.teardown(() => socket.close());
  const {port} = socket.address();
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
  await waitUntil(() => expected.every(pattern => pattern.test(text)));
  t.notRegex(text, /sk-/);
});
