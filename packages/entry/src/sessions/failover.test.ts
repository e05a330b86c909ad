import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {TestWorld, waitUntil, type Answer} from './test_world.js';

interface CellOwnerDump {
  readonly cells: {readonly owned: ReadonlyArray<{readonly cell: string}>};
}

/** Returns the index of the entry that owns the model's cell. */
async function findOwner(world: TestWorld, entries: number): Promise<number> {
  for (let entry = 0; entry < entries; entry++) {
    const {cells} = (await world.dump(entry)) as unknown as CellOwnerDump;
    if (cells.owned.some(({cell}) => cell.includes('model/repair'))) {
      return entry;
    }
  }
  throw new Error('no entry owns the cell');
}

/** Sends more requests through one entry than can run at once. */
function burst(world: TestWorld, entry: number): Promise<Answer[]> {
  return Promise.all(
    Array.from({length: 12}, (_, index) =>
      world.chat(entry, `question ${index}`, {tokens: 40}),
    ),
  );
}

const THREE_ENTRIES = {
  entries: ['akl-a', 'akl-a', 'akl-a'],
  maxConcurrency: 2,
  // Long enough that no request is refused when a busy machine slows the engine.
  deadlineMs: 300_000,
};

test('requests go on when the owner of their cell is killed', async t => {
  // The instance that decides which request runs next is killed while requests
  // of another instance wait and run. Callers may see no more than a delay.
  const world = await TestWorld.start(THREE_ENTRIES);
  t.teardown(() => world.close());
  const owner = await findOwner(world, 3);
  const other = (owner + 1) % 3;
  const answers = burst(world, other);
  await delay(100);
  await world.entries[owner].process.kill();
  for (const {status, body} of await answers) t.is(status, 200, body);
});

test('requests go on when the owner of their cell is told to stop', async t => {
  // The instance that decides which request runs next is replaced while requests
  // of another instance wait and run. It must not refuse these requests.
  const world = await TestWorld.start({
    ...THREE_ENTRIES,
    settings: {shutdown: {balancerLagMs: 0, graceMs: 1000}},
  });
  t.teardown(() => world.close());
  const owner = await findOwner(world, 3);
  const other = (owner + 1) % 3;
  const answers = burst(world, other);
  await delay(100);
  const exited = world.entries[owner].process.terminate();
  for (const {status, body} of await answers) t.is(status, 200, body);
  t.is((await exited).code, 0);
});

test('requests go on when the owner of their cell freezes', async t => {
  // The owner's process freezes without closing a connection, then resumes and
  // still considers itself the owner.
  const world = await TestWorld.start(THREE_ENTRIES);
  t.teardown(() => world.close());
  const owner = await findOwner(world, 3);
  const other = (owner + 1) % 3;
  const answers = burst(world, other);
  await delay(100);
  world.entries[owner].process.freeze();
  for (const {status, body} of await answers) t.is(status, 200, body);
  world.entries[owner].process.thaw();
  for (const {status, body} of await burst(world, other))
    t.is(status, 200, body);
});

test('a data centre without entry instances still has its endpoints used', async t => {
  // A data centre loses all its entry instances, and has the only engine.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-b'],
    engines: ['akl-b'],
  });
  t.teardown(() => world.close());
  await world.entries[1].process.kill();
  await waitUntil(
    async () => (await world.chat(0, 'anyone there?')).status === 200,
  );
  t.pass();
});

test('an engine that is lost does not lose its requests', async t => {
  // One of two engines crashes while it streams answers. Each caller must still
  // get its whole answer, with each token once.
  const world = await TestWorld.start({engines: ['akl-a', 'akl-b']});
  t.teardown(() => world.close());
  const answers = Promise.all(
    Array.from({length: 6}, (_, index) =>
      world.chat(0, `question ${index}`, {tokens: 60, stream: true}),
    ),
  );
  await delay(500);
  const crash = {crash: {restartAfterMs: null}};
  // The crash also resets the connection of the control command.
  await world.control({url: world.engines.urls[0]}, crash).catch(() => {});
  for (const {status, body} of await answers) {
    t.is(status, 200);
    t.true(body.endsWith('data: [DONE]\n\n'));
    const tokens = body.matchAll(/"content":"[^"]*-(\d+)"/g);
    const numbers = [...tokens].map(([, number]) => Number(number));
    t.deepEqual(
      numbers,
      Array.from({length: 60}, (_, index) => index),
    );
  }
});

test('a request that crashes engines is stopped after two', async t => {
  // A prompt crashes each engine that runs it, and its caller retries it at any
  // instance. Without the guard it would take down every engine. Other requests
  // in flight at these engines must be served.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-b'],
    engines: ['akl-a', 'akl-a', 'akl-b', 'akl-b'],
  });
  t.teardown(() => world.close());
  const poison = '<<poison>>';
  const otherAnswers = Promise.all(
    Array.from({length: 6}, (_, index) =>
      world.chat(index % 2, `innocent ${index}`, {tokens: 60}),
    ),
  );
  const first = await world.chat(0, poison);
  t.is(first.status, 422);
  t.like(JSON.parse(first.body).error, {
    code: 'suspected_crash',
    verdict: 'may_have_run',
  });
  await waitUntil(async () => {
    const {suspects} = await world.dump(1);
    return (suspects as {crashes: object[]}).crashes.length >= 2;
  });
  const again = await world.chat(1, poison);
  t.like(JSON.parse(again.body).error, {
    code: 'suspected_crash',
    verdict: 'not_run',
  });
  for (const {status} of await otherAnswers) t.is(status, 200);
  let crashes = 0;
  for (const url of world.engines.urls) {
    crashes += Number((await world.log({url})).crashes ?? 0);
  }
  t.true(crashes <= 2, `${crashes} engines crashed`);
});
