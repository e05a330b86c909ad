import {got} from 'got';
import test from 'ava';
import {SHOP_KEY, TestWorld, waitUntil} from './test_world.js';

test('nothing runs on for a caller that has hung up', async t => {
  // A tramper closes the assistant in the middle of a long answer. An engine
  // that went on would hold up the next customer and waste thousands of tokens.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  const stream = got.stream.post(
    `${world.entries[0].callersUrl}/v1/chat/completions`,
    {
      headers: {authorization: `Bearer ${SHOP_KEY}`},
      json: {
        model: 'repair',
        stream: true,
        max_tokens: 4000,
        messages: [{role: 'user', content: 'Tell me all.'}],
      },
      retry: {limit: 0},
    },
  );
  stream.on('error', () => {});
  await new Promise(resolve => stream.once('data', resolve));
  stream.destroy();
  await waitUntil(async () => {
    const {inFlight} = (await world.dump(0)) as {inFlight: unknown[]};
    return inFlight.length === 0;
  });
  await waitUntil(async () => (await world.log(world.engines)).running === 0);
  const log = (await world.log(world.engines)) as Record<string, number>;
  t.true(log.tokensProduced < 4000);
  t.is(log.cancelled, 1);
  t.is((await world.chat(0, 'next please')).status, 200);
});
