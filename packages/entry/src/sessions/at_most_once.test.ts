import test from 'ava';
import {TestWorld, uniqueKey, waitUntil, type Answer} from './test_world.js';

async function bookings(world: TestWorld): Promise<number> {
  const {records} = (await world.log(world.service)) as {records: unknown[]};
  return records.length;
}

function verdictOf(answer: Answer): string {
  return JSON.parse(answer.body).error.verdict;
}

test('a booking whose answer is lost is not made again', async t => {
  // The booking service makes a booking and its connection breaks before the
  // answer. A retry would charge the customer twice; with the verdict "not_run",
  // the caller itself would book again.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-b']});
  t.teardown(() => world.close());
  const lose = {faults: {records: {mode: 'lose_answer', count: 1}}};
  await world.control(world.service, lose);
  const plain = await world.book(0, {tent: 1});
  t.is(plain.status, 502);
  t.is(verdictOf(plain), 'may_have_run');
  t.is(await bookings(world), 1);

  await world.control(world.service, lose);
  const key = uniqueKey();
  const first = await world.book(0, {tent: 2}, key);
  t.is(verdictOf(first), 'may_have_run');
  for (const entry of [0, 1]) {
    const again = await world.book(entry, {tent: 2}, key);
    t.like(JSON.parse(again.body).error, {code: 'outcome_unknown'});
  }
  t.is(await bookings(world), 2);
});

test('a booking refused as not run can be made later under its key', async t => {
  // The booking service is unreachable. The caller retries when it is back, and
  // must neither get the earlier refusal nor two bookings.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  const key = uniqueKey();
  const {url} = world.service;
  const gone = world.endpoint('booking-1', 'akl-a', 'http://127.0.0.1:9');
  const state = {
    ...gone.state,
    serves: {kind: 'service', service: 'booking'},
  };
  await world.submit([{...gone, state}]);
  await world.waitForRevision(2);
  const refused = await world.book(0, {tent: 3}, key);
  t.is(verdictOf(refused), 'not_run');
  await world.submit([{...gone, state: {...state, url}}]);
  await world.waitForRevision(3);
  await waitUntil(
    async () => (await world.book(0, {tent: 3}, key)).status === 201,
  );
  t.is(await bookings(world), 1);
});

test('two instances asked at once under one key book once', async t => {
  // A caller's library repeats a booking over another connection before it has
  // the first answer.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-b']});
  t.teardown(() => world.close());
  const key = uniqueKey();
  const answers = await Promise.all(
    Array.from({length: 8}, (_, index) =>
      world.book(index % 2, {tent: 4}, key),
    ),
  );
  t.is(await bookings(world), 1);
  t.true(answers.some(({status}) => status === 201));
  t.true(answers.every(({status}) => status === 201 || status === 409));
});

test('a booking of a killed instance is not run by another one', async t => {
  // An instance is killed while a booking runs. The caller retries at another
  // instance, which can't know whether the booking was made.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-b']});
  t.teardown(() => world.close());
  await world.control(world.service, {
    faults: {records: {mode: 'slow', delayMs: 60_000}},
  });
  const key = uniqueKey();
  const first = world.book(0, {tent: 5}, key);
  first.catch(() => {});
  await waitUntil(async () => {
    const dump = await world.dump(0);
    return JSON.stringify(dump.inFlight).includes('running');
  });
  await world.entries[0].process.kill();
  await t.throwsAsync(first);
  await waitUntil(async () => {
    const again = await world.book(1, {tent: 5}, key);
    const {error} = JSON.parse(again.body);
    t.is(error.verdict, 'may_have_run');
    return error.code === 'outcome_unknown';
  });
});

test('a booking that runs at a stopping instance is reported as in progress', async t => {
  // An instance is told to stop while a booking runs there; the caller has lost
  // its connection and retries at another instance. It must not get
  // `outcome_unknown`, since the booking is made a second later.
  const world = await TestWorld.start({entries: ['akl-a', 'akl-a']});
  t.teardown(() => world.close());
  await world.control(world.service, {
    faults: {records: {mode: 'slow', delayMs: 4000}},
  });
  const key = uniqueKey();
  const first = world.book(0, {tent: 7}, key);
  first.catch(() => {});
  await waitUntil(async () => {
    const dump = await world.dump(0);
    return JSON.stringify(dump.inFlight).includes('running');
  });
  const exited = world.entries[0].process.terminate();
  await waitUntil(async () => {
    const {members} = (await world.status(1)) as {
      members: Array<{state: string}>;
    };
    return members.some(({state}) => state === 'leaving');
  });
  const again = await world.book(1, {tent: 7}, key);
  t.is(again.status, 409, again.body);
  t.is(JSON.parse(again.body).error.code, 'idempotency_in_progress');
  t.is((await first).status, 201);
  t.is((await exited).code, 0);
  const replayed = await world.book(1, {tent: 7}, key);
  t.is(replayed.status, 201);
  t.is(replayed.headers['idempotency-replayed'], 'true');
  t.is(await bookings(world), 1);
});

test('without the store keyed bookings are refused and not sent', async t => {
  // The platform's table is down. If a keyed booking were sent anyway, it could
  // be made twice, since instances could not see each other's claims.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  await world.control(world.platform, {faults: {table: {mode: 'down'}}});
  const refused = await world.book(0, {tent: 6}, uniqueKey());
  t.is(refused.status, 503);
  t.is(verdictOf(refused), 'may_have_run');
  t.truthy(refused.headers['retry-after']);
  t.is(await bookings(world), 0);
  t.is((await world.book(0, {tent: 6})).status, 201);
  t.is(await bookings(world), 1);
});

test('without the table a repeated key is not refused as never run', async t => {
  // Guards against a booking that is made again under another key, because the
  // refusal said that none had been made under the first.
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  t.true((await world.book(0, {item: 'stove'}, 'key-1')).status < 300);
  await world.control(world.platform, {faults: {table: {mode: 'down'}}});
  const refused = await world.book(0, {item: 'stove'}, 'key-1');
  t.is(refused.status, 503);
  t.is(JSON.parse(refused.body).error.verdict, 'may_have_run');
});
