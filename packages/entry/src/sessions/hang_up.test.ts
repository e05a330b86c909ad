import {got} from 'got';
import test from 'ava';
import {SHOP_KEY, TestWorld, waitUntil} from './test_world.js';

test('a request stops running when its caller disconnects', async t => {
  // A caller disconnects in the middle of a long answer. An engine that went on
  // would delay other requests and waste thousands of tokens.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  // The engine stops when the connection closes, but counts the request as
  // cancelled only when the cancel call arrives, which may be later.
  const faults = {cancel: {mode: 'slow', delayMs: 300}};
  await world.control(world.engines, {faults});
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
  const readLog = async () =>
    (await world.log(world.engines)) as Record<string, number>;
  await waitUntil(async () => (await readLog()).running === 0);
  const {tokensProduced} = await readLog();
  t.true(tokensProduced < 4000);
  await waitUntil(async () => (await readLog()).cancelled > 0);
  const log = await readLog();
  t.is(log.cancelled, 1);
  t.is(
    log.tokensProduced,
    tokensProduced,
    'tokens were produced after the engine had stopped',
  );
  t.is((await world.chat(0, 'next please')).status, 200);
});
