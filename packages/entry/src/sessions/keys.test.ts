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
  // A leaked key is withdrawn while requests with it run and wait at another
  // instance, whose connections stay open. If these requests went on, they
  // would be served and billed to the account.
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
    return phases.filter(phase => phase === 'answering').length === 2;
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

test('a key withdrawn before the first token ends a request as may_have_run', async t => {
  // The key is withdrawn while an engine has a request but has sent no token. With
  // the verdict "not_run", the caller would send the request again, and pay twice
  // if the engine had started it.
  const world = await TestWorld.start({entries: ['akl-a']});
  t.teardown(() => world.close());
  await world.control(world.engines, {slowFactor: 5000});
  const call = world.chat(0, 'a', {key: OTHER_KEY, tokens: 5, stream: true});
  await waitUntil(async () => {
    const {running} = await world.log(world.engines);
    return running === 1;
  });
  t.like(await inFlight(world, 0), [{phase: 'running'}]);
  t.is((await world.submit([account('other')])).status, 200);
  const {status, body} = await call;
  t.is(status, 401);
  t.like(JSON.parse(body).error, {
    code: 'key_withdrawn',
    verdict: 'may_have_run',
  });
});

async function inFlight(
  world: TestWorld,
  entry: number,
): Promise<Array<{phase: string}>> {
  const dump = await world.dump(entry);
  return dump.inFlight as Array<{phase: string}>;
}
