import test from 'ava';
import {TestWorld, waitUntil} from './test_world.js';

/** The next call is refused; whatever is sent after it is served. */
function refuseOnce(retryAfterS: number): object {
  return {faults: {'*': {mode: 'error', retryAfterS, count: 1}}};
}

test('an engine that refuses with Retry-After gets nothing until then', async t => {
  // Guards against requests that pile up at an engine that wants to recover.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  await world.control(world.engines, refuseOnce(60));
  t.is((await world.chat(0, 'one')).status, 503);
  const second = await world.chat(0, 'two');
  t.is(second.status, 503);
  const retryAfterS = Number(second.headers['retry-after']);
  t.true(retryAfterS > 30 && retryAfterS <= 60, String(retryAfterS));
});

test('an engine and a service get requests again after their backoff', async t => {
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  await world.control(world.engines, refuseOnce(1));
  t.is((await world.chat(0, 'one')).status, 503);
  await waitUntil(async () => (await world.chat(0, 'more')).status === 200);
  await world.control(world.service, refuseOnce(1));
  const book = () => world.book(0, {item: 'stove'});
  t.is((await book()).status, 503);
  await waitUntil(async () => (await book()).status < 300);
});

test('while one engine is in backoff, another serves', async t => {
  // Guards against refusals while an engine has room.
  const world = await TestWorld.start({engines: ['akl-a', 'akl-a']});
  t.teardown(() => world.close());
  await world.control(world.engines, refuseOnce(60));
  for (let count = 0; count < 12; count += 1) {
    t.is((await world.chat(0, `question ${count}`)).status, 200);
  }
});

test('a service that refuses with Retry-After gets nothing until then', async t => {
  // The same for plain services, whose answer is passed on.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  await world.control(world.service, refuseOnce(60));
  t.is((await world.book(0, {item: 'stove'})).status, 503);
  const refused = await world.book(0, {item: 'stove'});
  t.is(refused.status, 503);
  t.regex(refused.body, /no_endpoint/);
});
