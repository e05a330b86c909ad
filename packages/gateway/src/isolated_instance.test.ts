import type {ServerResponse} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import type {Route} from '@snipestage/routing/route.js';
import type {LinkMode} from '@snipestage/stand_ins/link/link.js';
import {startCluster} from './test_support/test_cluster.js';
import {get, SLOW_ROUTE, waitUntil} from './test_support/test_gateway.js';

const SAFE_ROUTE: Route = {
  ...SLOW_ROUTE,
  host: '127.0.0.1',
  kind: 'idempotent',
  timeoutMs: 3000,
  maxAttempts: 3,
};
const UNSAFE_ROUTE: Route = {
  ...SAFE_ROUTE,
  kind: 'non_idempotent',
  maxAttempts: 1,
};
const CALLS = 20;
const HELD_FOR_MS = 800;
/** An endpoint whose answer broke off is looked at twice within this time. */
const CRASH_CHECK_MS = 1300;

function answer(response: ServerResponse, id: string): void {
  response.setHeader('X-Request-Id', id);
  response.setHeader('X-Signature', 'proof');
  response.end('whole');
}

async function start(t: ExecutionContext, instances: number, route: Route) {
  const cluster = await startCluster({instances, endpoints: 3, route, answer});
  t.teardown(() => cluster.stop());
  return cluster;
}

/** Statuses of requests that are sent one after the other. */
async function callRepeatedly(port: number, name: string) {
  const statuses: Array<number | undefined> = [];
  for (let number = 0; number < CALLS; number += 1) {
    const headers = {Host: '127.0.0.1', 'X-Request-Id': `${name}-${number}`};
    statuses.push((await get(port, undefined, headers)).statusCode);
  }
  return statuses;
}

for (const mode of ['refuse', 'cut'] satisfies LinkMode[]) {
  for (const route of [SAFE_ROUTE, UNSAFE_ROUTE]) {
    test(`an isolated instance serves ${route.kind} requests through others (${mode})`, async t => {
      // Guards against refusing callers of an instance that has lost its own
      // links to all endpoints while other instances reach them.
      const cluster = await start(t, 3, route);
      const [isolated, other] = cluster.members;
      await callRepeatedly(isolated.callers, 'before');
      await cluster.cut(0, mode);
      const statuses = await callRepeatedly(isolated.callers, 'isolated');
      t.deepEqual(statuses, Array(CALLS).fill(200));
      t.deepEqual(
        await callRepeatedly(other.callers, 'other'),
        Array(CALLS).fill(200),
      );
      const begun = cluster.endpoints.flatMap(each => each.begun);
      t.is(begun.length, new Set(begun).size);
    });
  }
}

test('a resumable stream goes on at its endpoint when its forwarder is lost', async t => {
  // Guards against streams that break off with an instance that only forwarded
  // them, while their endpoint, the last of its version, still serves.
  const cluster = await startCluster({
    instances: 2,
    endpoints: 1,
    route: {...SAFE_ROUTE, kind: 'stream', isResumable: true, maxAttempts: 2},
    answer: (response, id, request) => {
      response.setHeader('X-Request-Id', id);
      response.setHeader('X-Signature', 'proof');
      if (request.headers['last-event-id'] === undefined) {
        response.write('id: 1\ndata: a\n\n');
      } else response.end('id: 2\ndata: b\n\n');
    },
  });
  t.teardown(() => cluster.stop());
  const [isolated, forwarder] = cluster.members;
  await waitUntil(() =>
    isolated.lines.some(line => line.includes('software_versions_learnt')),
  );
  await cluster.cut(0, 'refuse');
  const headers = {Host: '127.0.0.1', 'X-Request-Id': 'one'};
  const answer = get(isolated.callers, undefined, headers);
  await waitUntil(() => cluster.endpoints[0].begun.length === 1);
  await cluster.cut(0, 'pass');
  await forwarder.gateway.stop();
  t.is((await answer).statusCode, 200);
  t.deepEqual(cluster.endpoints[0].begun, ['one', 'one']);
});

test('an instance without requests finds out that its links are back', async t => {
  // Guards against an instance that refuses to forward for others after that.
  const cluster = await start(t, 2, SAFE_ROUTE);
  const [isolated] = cluster.members;
  await cluster.cut(0, 'refuse');
  await callRepeatedly(isolated.callers, 'isolated');
  const hasLogged = (event: string) =>
    isolated.lines.some(line => line.includes(`"${event}"`));
  t.true(hasLogged('isolation_began'));
  t.false(hasLogged('isolation_ended'));
  await cluster.cut(0, 'pass');
  await waitUntil(() => hasLogged('isolation_ended'));
});

test('a whole data centre without links serves through the other instances', async t => {
  // Guards against instances without links that pass requests to one another.
  const cluster = await start(t, 4, SAFE_ROUTE);
  for (const index of [0, 1, 2]) await cluster.cut(index, 'refuse');
  for (const index of [0, 1, 2]) {
    const {callers} = cluster.members[index];
    const statuses = await callRepeatedly(callers, `isolated-${index}`);
    t.deepEqual(statuses, Array(CALLS).fill(200));
  }
});

test('an instance that reaches no endpoint reports no crash of one', async t => {
  // Guards against refusing a request everywhere because instances that lost
  // their links took the endpoints that they couldn't reach for crashed.
  const cluster = await startCluster({
    instances: 3,
    endpoints: 3,
    route: SAFE_ROUTE,
    answer: (response, id) => {
      if (!id.startsWith('held')) answer(response, id);
    },
  });
  t.teardown(() => cluster.stop());
  for (const index of [0, 1]) {
    const {callers} = cluster.members[index];
    const held = [0, 1, 2].map(number =>
      callWithSameContent(callers, `held-${index}-${number}`),
    );
    await waitUntil(
      () =>
        cluster.endpoints.flatMap(({begun}) => begun).length >= 3 + 3 * index,
    );
    await cluster.partition(index);
    await Promise.all(held);
  }
  await new Promise(done => setTimeout(done, CRASH_CHECK_MS));
  const lines = cluster.members.flatMap(member => member.lines);
  t.deepEqual(
    lines.filter(line => line.includes('"endpoint_crashed"')),
    [],
  );
  const {callers} = cluster.members[2];
  const healthy = await callWithSameContent(callers, 'again');
  t.is(healthy, 200);
});

/** Requests of one caller for one path look alike. */
async function callWithSameContent(port: number, id: string) {
  const headers = {
    Host: '127.0.0.1',
    'X-Request-Id': id,
    'X-Waits-Ms': String(HELD_FOR_MS),
  };
  return (await get(port, undefined, headers)).statusCode;
}
