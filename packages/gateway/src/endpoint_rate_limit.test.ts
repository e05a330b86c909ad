import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import test from 'ava';
import {answerBytes, TestDoor, type Script} from './test_support/test_door.js';

/** Tolerated in 4 s with a limit of 1 a second. */
const MOST_IN_4_S = 11;

const answerWithLimit: Script = (socket, request) => {
  const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  socket.end(answerBytes(id, {headers: ['X-Limit: 1']}));
};

test('load pattern: callers want more of a rate-limited endpoint than it allows', async t => {
  // Guards against an overloaded endpoint that gets its usual share of requests.
  const door = await TestDoor.start({}, [answerWithLimit]);
  t.teardown(() => door.close());
  door.state.instances = 1;
  await door.call('first', {body: 'order'});
  for (let count = 0; count < 30; count++) {
    const answer = await door.call(`${count}`, {body: 'order'});
    if (answer.status === 200) continue;
    t.is(answer.status, 503);
    t.true(Number(answer.headers['retry-after']) > 0);
  }
  t.true(door.received.length <= MOST_IN_4_S, `${door.received.length}`);
});

test('a slow endpoint is kept while the others are rate limited', async t => {
  // Guards against a stream that is cut off and has nowhere to go.
  const answerLate: Script = (socket, request) => {
    const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
    setTimeout(() => socket.end(answerBytes(id)), 1500);
  };
  const route = {
    kind: 'idempotent',
    maxAttempts: 2,
    latencyTargetMs: 100,
  } as const;
  const door = await TestDoor.start(route, [answerLate, answerLate]);
  t.teardown(() => door.close());
  const limited = brandAs<EndpointId>('endpoint-1');
  door.state.rateLimits.note(limited, 0.1, performance.now());
  const answer = await door.call('one');
  t.is(answer.status, 200);
  t.deepEqual(
    door.received.map(({endpoint}) => endpoint),
    ['endpoint-0'],
  );
});
