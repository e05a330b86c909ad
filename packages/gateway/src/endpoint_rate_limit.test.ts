import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

/** Tolerated in 4 s with a limit of 1 request a second. */
const MAX_REQUESTS_IN_4_S = 11;

const answerWithLimit: Script = (socket, request) => {
  const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  socket.end(answerBytes(id, {headers: ['X-Limit: 1']}));
};

test('load pattern: callers send more requests than a rate-limited endpoint allows', async t => {
  // An overloaded endpoint must not get its usual share of requests.
  const proxy = await TestProxy.start({}, [answerWithLimit]);
  t.teardown(() => proxy.close());
  proxy.state.instances = 1;
  await proxy.call('first', {body: 'order'});
  for (let count = 0; count < 30; count++) {
    const answer = await proxy.call(`${count}`, {body: 'order'});
    if (answer.status === 200) continue;
    t.is(answer.status, 503);
    t.true(Number(answer.headers['retry-after']) > 0);
  }
  t.true(
    proxy.received.length <= MAX_REQUESTS_IN_4_S,
    `${proxy.received.length}`,
  );
});

test('an attempt at a slow endpoint goes on while the others are rate limited', async t => {
  // A silent attempt must not be cancelled when no other endpoint can take it.
  const answerLate: Script = (socket, request) => {
    const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
    setTimeout(() => socket.end(answerBytes(id)), 1500);
  };
  const route = {
    kind: 'idempotent',
    maxAttempts: 2,
    latencyTargetMs: 100,
  } as const;
  const proxy = await TestProxy.start(route, [answerLate, answerLate]);
  t.teardown(() => proxy.close());
  const limited = brandAs<EndpointId>('endpoint-1');
  proxy.state.rateLimits.note(limited, 0.1, performance.now());
  const answer = await proxy.call('one');
  t.is(answer.status, 200);
  t.deepEqual(
    proxy.received.map(({endpoint}) => endpoint),
    ['endpoint-0'],
  );
});
