import test from 'ava';
import {
  account,
  OTHER_KEY,
  TestWorld,
  waitUntil,
  type Answer,
} from './test_world.js';

const MANY_TOKENS = 4000;

test('a withdrawn key stops for new, waiting and running work', async t => {
  // A shop's key has leaked and is withdrawn while its requests run and wait at
  // another instance, whose connections stay open. Whoever holds the key would
  // go on being served on the shop's account.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-a'],
    maxConcurrency: 2,
  });
  t.teardown(() => world.close());
  const asOther = (content: string): Promise<Answer> =>
    world.chat(1, content, {
      key: OTHER_KEY,
      tokens: MANY_TOKENS,
      stream: true,
    });
  const calls = ['a', 'b', 'c', 'd'].map(asOther);
  await waitUntil(async () => (await inFlight(world, 1)).length === 4);
  await waitUntil(async () => {
    const phases = (await inFlight(world, 1)).map(({phase}) => phase);
    return phases.filter(phase => phase === 'running').length === 2;
  });
  t.is((await world.submit([account('other')])).status, 200);
  const answers = await Promise.all(calls);
  const waiting = answers.filter(({status}) => status === 401);
  const running = answers.filter(({status}) => status === 200);
  t.is(waiting.length, 2);
  t.is(running.length, 2);
  for (const {body} of waiting) {
    t.like(JSON.parse(body).error, {code: 'key_withdrawn', verdict: 'not_run'});
  }
  for (const {body} of running) {
    t.regex(body, /"key_withdrawn"/);
    t.notRegex(body, /\[DONE\]/);
  }
  t.is((await asOther('e')).status, 401);
  await waitUntil(async () => (await inFlight(world, 1)).length === 0);
  const engineLog = await world.log(world.engines);
  t.is(engineLog.running, 0);
});

async function inFlight(
  world: TestWorld,
  entry: number,
): Promise<Array<{phase: string}>> {
  const dump = await world.dump(entry);
  return dump.inFlight as Array<{phase: string}>;
}
