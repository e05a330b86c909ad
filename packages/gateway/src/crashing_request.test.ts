import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const POISON = 'poison';
const ENGINES = 5;

function idOf(request: string): string {
  return /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

function countRuns(proxy: TestProxy, body: string): number {
  return proxy.received.filter(({request}) => request.endsWith(body)).length;
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

/** Endpoints that crash as soon as they get the poisonous request. */
async function startCrashable(restart: 'never' | 'under_new_id') {
  const proxy = new TestProxy();
  const script: Script = (socket, request) => {
    if (!request.endsWith(POISON)) {
      socket.end(answerBytes(idOf(request)));
      return;
    }
    const {endpoint} = proxy.received[proxy.received.length - 1];
    proxy.crash(endpoint);
    if (restart === 'under_new_id') {
      void proxy.restart(endpoint, `${endpoint}-again`, script);
    }
  };
  await proxy.begin({}, Array<Script>(ENGINES).fill(script));
  return proxy;
}

async function sendPoison(proxy: TestProxy, count: number) {
  const statuses: number[] = [];
  for (let number = 0; number < count; number += 1) {
    const answer = await proxy.call(`poison-${number}`, {body: POISON});
    statuses.push(answer.status);
    await pause(300);
  }
  return statuses;
}

test('a request that crashes endpoints is refused without other traffic', async t => {
  // Guards against crashes that count only if another request of the same
  // instance happens to be refused a connection at the crashed endpoint.
  const proxy = await startCrashable('never');
  t.teardown(() => proxy.close());
  const statuses = await sendPoison(proxy, ENGINES);
  t.is(countRuns(proxy, POISON), 2);
  t.deepEqual(statuses, [502, 502, 503, 503, 503]);
  t.is((await proxy.call('healthy', {body: 'order'})).status, 200);
});

test('endpoints that are back at once under other ids have crashed', async t => {
  // Guards against crashes that go unnoticed since only a restart under the
  // same id, or a refused connection, confirms one.
  const proxy = await startCrashable('under_new_id');
  t.teardown(() => proxy.close());
  const statuses = await sendPoison(proxy, ENGINES);
  t.is(countRuns(proxy, POISON), 2);
  t.deepEqual(statuses, [502, 502, 503, 503, 503]);
});

test('a request without a body that crashes endpoints is refused', async t => {
  // Guards against crashes by requests that are recognized by caller and path
  // alone.
  const proxy = new TestProxy();
  await proxy.begin(
    {},
    Array<Script>(ENGINES).fill(() => {
      proxy.crash(proxy.received[proxy.received.length - 1].endpoint);
    }),
  );
  t.teardown(() => proxy.close());
  for (let number = 0; number < ENGINES; number += 1) {
    await proxy.call(`get-${number}`);
    await pause(300);
  }
  t.is(proxy.received.length, 2);
});

test('lost answers of healthy endpoints accuse nobody', async t => {
  // Guards against refusing callers that repeat a request because a network
  // loses answers.
  const proxy = await TestProxy.start(
    {},
    Array<Script>(ENGINES).fill(socket => socket.destroy()),
  );
  t.teardown(() => proxy.close());
  for (let number = 0; number < ENGINES; number += 1) {
    await proxy.call(`lost-${number}`, {body: 'order'});
    await pause(300);
  }
  t.is(countRuns(proxy, 'order'), ENGINES);
});

test('a stream isn’t resumed once its crashes are known', async t => {
  // Guards against a stream that is resumed at one engine after the other and
  // crashes each of them.
  const proxy = new TestProxy();
  await proxy.begin(
    {kind: 'stream', isResumable: true, maxAttempts: ENGINES},
    Array<Script>(ENGINES).fill(() => {
      proxy.crash(proxy.received[proxy.received.length - 1].endpoint);
    }),
  );
  t.teardown(() => proxy.close());
  await proxy.call('first', {body: POISON});
  await pause(300);
  const runsBefore = proxy.received.length;
  t.is((await proxy.call('again', {body: POISON})).status, 503);
  t.is(proxy.received.length, runsBefore);
});
