import test from 'ava';
import {TestWorld, waitUntil} from './test_world.js';

test('a graceful shutdown cuts no request', async t => {
  // An instance is stopped while it streams answers, while requests wait there,
  // and while the balancer, which has not noticed yet, still sends new ones.
  const world = await TestWorld.start({
    entries: ['akl-a', 'akl-a'],
    maxConcurrency: 2,
    settings: {shutdown: {balancerLagMs: 1000}},
  });
  t.teardown(() => world.close());
  const streams = Array.from({length: 6}, (_, index) =>
    world.chat(0, `question ${index}`, {tokens: 60, stream: true}),
  );
  await waitUntil(async () => {
    const {inFlight} = (await world.dump(0)) as {inFlight: unknown[]};
    return inFlight.length === 6;
  });
  const exited = world.entries[0].process.terminate();
  await waitUntil(async () => {
    const {status, body} = await world.call(0, '/readyz');
    return status === 503 && body.includes('shutting down');
  });
  const late = await world.chat(0, 'sent by a balancer that lags');
  t.is(late.status, 200);
  t.is(late.headers.connection, 'close');
  for (const {status, body} of await Promise.all(streams)) {
    t.is(status, 200);
    t.true(body.endsWith('data: [DONE]\n\n'));
  }
  t.is((await exited).code, 0);
  const served = await usageLines(world);
  t.is(served, 7);
});

/** Returns the number of requests in the usage counters in the table. */
async function usageLines(world: TestWorld): Promise<number> {
  const rows = await world.scanTable('usage/counters/');
  const values = rows.map(({value}) => value as CounterRow);
  return values
    .flatMap(({lines}) => lines)
    .reduce((sum, {requests}) => sum + requests, 0);
}

interface CounterRow {
  readonly lines: ReadonlyArray<{readonly requests: number}>;
}
