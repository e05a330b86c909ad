import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {TestWorld, waitUntil} from './test_world.js';

interface LoggedOrder {
  readonly content: {
    readonly id: string;
    readonly targetCount: number;
    readonly fencingToken: number;
  };
}

const SHORT_LEASE = {termMs: 1500, renewEveryMs: 300, marginMs: 300};

function pool(minRegular: number) {
  return {
    kind: 'endpoint_pool',
    id: 'akl-a/repair',
    state: {
      id: 'akl-a/repair',
      dataCentre: 'akl-a',
      model: 'repair',
      minRegular,
      maxRegular: 9,
      maxCheap: 0,
      maxConcurrencyPerEndpoint: 8,
      regularPricePerHour: 2,
      cheapPricePerHour: 1,
      enginesCheckFencing: true,
    },
  };
}

async function orders(world: TestWorld): Promise<LoggedOrder['content'][]> {
  const log = (await world.log(world.platform)) as {orders: LoggedOrder[]};
  return log.orders.map(({content}) => content);
}

/** Returns the index of the entry that reports itself as holder of orders. */
async function findHolder(world: TestWorld, among: readonly number[]) {
  let holder: number | undefined;
  await waitUntil(async () => {
    for (const entry of among) {
      const {roles} = (await world.status(entry)) as {roles: string[]};
      if (roles.includes('orders/akl-a')) holder = entry;
    }
    return holder !== undefined;
  });
  return holder!;
}

test('the platform gets no order from a holder that was frozen', async t => {
  // The instance that orders endpoints freezes for longer than its lease, and a
  // successor orders meanwhile. When the first one resumes, it briefly still
  // considers itself the holder. Its order would undo the successor's, and
  // endpoints would be started and stopped at a cost.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-a'],
    settings: {lease: SHORT_LEASE},
  });
  t.teardown(() => world.close());
  await world.submit([pool(1)]);
  await waitUntil(async () => (await orders(world)).length > 0);
  const first = await findHolder(world, [0, 1]);
  const second = 1 - first;
  const [{fencingToken}] = await orders(world);
  world.entries[first].process.freeze();
  await findHolder(world, [second]);
  await waitUntil(async () =>
    (await orders(world)).some(order => order.fencingToken > fencingToken),
  );
  world.entries[first].process.thaw();
  await world.submit([pool(2)]);
  await waitUntil(async () =>
    (await orders(world)).some(({targetCount}) => targetCount === 2),
  ).catch(async error => {
    t.log(await orders(world));
    for (const entry of [0, 1]) {
      const {leases, orders: state, plan} = await world.dump(entry);
      t.log(JSON.stringify({entry, leases, state, plan}));
    }
    throw error;
  });
  await delay(2 * SHORT_LEASE.termMs);
  const tokens = (await orders(world)).map(order => order.fencingToken);
  t.deepEqual(
    tokens,
    [...tokens].sort((a, b) => a - b),
    'an order with an older fencing token followed a newer one',
  );
  t.is((await orders(world)).at(-1)?.targetCount, 2);
});

test('a lease holder that shuts down hands over its role at once', async t => {
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-a'],
    settings: {lease: {termMs: 60_000, renewEveryMs: 300, marginMs: 300}},
  });
  t.teardown(() => world.close());
  const first = await findHolder(world, [0, 1]);
  t.is((await world.entries[first].process.terminate()).code, 0);
  // The wait for a role is 30 s at most, shorter than the term of 60 s.
  t.is(await findHolder(world, [1 - first]), 1 - first);
});

test('a leaving endpoint gets no new work, and what runs there finishes', async t => {
  // An engine is set to leave while it runs requests and more requests arrive.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-a'],
    engines: ['akl-a', 'akl-a'],
  });
  t.teardown(() => world.close());
  const running = Promise.all(
    Array.from({length: 8}, (_, index) =>
      world.chat(index % 2, `running ${index}`, {tokens: 150, stream: true}),
    ),
  );
  await delay(300);
  const [leavingUrl] = world.engines.urls;
  await world.submit([world.endpoint('engine-1', 'akl-a', leavingUrl, true)]);
  await world.waitForRevision(2);
  const runs = async () =>
    Object.keys((await world.log({url: leavingUrl})).runsByRequestId as object)
      .length;
  // A request sent just before the ticket came into force may still arrive.
  await delay(1000);
  const before = await runs();
  t.true(before > 0, 'no request ran at the leaving engine');
  const later = await Promise.all(
    Array.from({length: 12}, (_, index) => world.chat(index % 2, `q${index}`)),
  );
  t.true(later.every(({status}) => status === 200));
  t.is(await runs(), before);
  for (const {body} of await running) {
    t.true(body.endsWith('data: [DONE]\n\n'));
  }
});
