import test from 'ava';
import {
  answerBytes,
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

/** Longer than any test takes. */
const BACKOFF_MS = 60_000;
const ENGINE = {engine: {batchSize: 4, cacheTokens: 1000}};

const answerWhole: Script = (socket, request) => {
  socket.end(answerBytes(idOf(request)));
};

/** Slower than a refusal, so that the endpoint that refuses looks better. */
const answerLater: Script = (socket, request) => {
  setTimeout(() => answerWhole(socket, request), 20);
};

const requestBackoff = (backoffMs: number, status = 503): Script => {
  return (socket, request) => {
    const headers = ['X-Not-Run: 1', `X-Retry-After-Ms: ${backoffMs}`];
    socket.end(answerBytes(idOf(request), {status, headers}));
  };
};

function idOf(request: string): string {
  return /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

function countAt(proxy: TestProxy, endpoint: string): number {
  return proxy.received.filter(each => each.endpoint === endpoint).length;
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

for (const service of [{}, ENGINE]) {
  const kind = 'engine' in service ? 'an engine' : 'an endpoint';
  test(`${kind} gets nothing during its backoff, and requests again afterwards`, async t => {
    // Guards against an endpoint that is asked again and again while it wants
    // to recover.
    const scripts = [requestBackoff(BACKOFF_MS), answerLater];
    const proxy = await TestProxy.start({}, scripts);
    t.teardown(() => proxy.close());
    proxy.configure({}, service);
    while (countAt(proxy, 'endpoint-0') === 0) {
      await proxy.call(`before-${proxy.received.length}`, {body: 'order'});
    }
    for (let count = 0; count < 15; count += 1) {
      const answer = await proxy.call(`during-${count}`, {body: 'order'});
      t.is(answer.status, 200);
    }
    t.is(countAt(proxy, 'endpoint-0'), 1);
    proxy.skippedMs = BACKOFF_MS;
    for (let count = 0; count < 15; count += 1) {
      await proxy.call(`after-${count}`, {body: 'order'});
    }
    t.true(countAt(proxy, 'endpoint-0') > 1);
  });
}

test('neither retries nor resumed streams go to an endpoint in backoff', async t => {
  // Guards against retries that pile up at an endpoint that wants to recover.
  const breakOff: Script = (socket, request) => {
    socket.write(streamHead(idOf(request)));
    socket.write(chunk('id: 1\ndata: a\n\n'), () => socket.resetAndDestroy());
  };
  const route = {kind: 'stream', isResumable: true, maxAttempts: 2} as const;
  const proxy = await TestProxy.start(route, [
    breakOff,
    requestBackoff(60_000),
  ]);
  t.teardown(() => proxy.close());
  while (countAt(proxy, 'endpoint-1') === 0) {
    await proxy.call(`before-${proxy.received.length}`);
  }
  for (let count = 0; count < 10; count += 1) {
    await proxy.call(`after-${count}`);
  }
  t.is(countAt(proxy, 'endpoint-1'), 1);
});

test('with every endpoint in backoff, Retry-After lasts until the first is back', async t => {
  // Refused callers must not wait for an answer, nor come back before anything
  // has changed.
  const scripts = [requestBackoff(60_000), requestBackoff(50_000)];
  const proxy = await TestProxy.start({}, scripts);
  t.teardown(() => proxy.close());
  for (const [id, isTried] of [
    ['one', true],
    ['two', false],
  ] as const) {
    const before = proxy.received.length;
    const refused = await proxy.call(id, {body: 'order'});
    t.is(refused.status, 503);
    const retryAfterS = Number(refused.headers['retry-after']);
    t.true(retryAfterS > 40 && retryAfterS <= 50, `${id}: ${retryAfterS}`);
    t.is(proxy.received.length > before, isTried);
  }
});

test('a shorter backoff that is requested later does not end a longer one', async t => {
  // Guards against requests in the time of the first refusal, when refusals
  // overtake each other.
  let backoffMs = 60_000;
  const refuse: Script = (socket, request) =>
    setTimeout(() => requestBackoff(backoffMs)(socket, request), 50);
  const proxy = await TestProxy.start({}, [refuse]);
  t.teardown(() => proxy.close());
  const first = proxy.call('one', {body: 'order'});
  const second = proxy.call('two', {body: 'order'});
  await first;
  backoffMs = 1;
  await second;
  await pause(20);
  await proxy.call('three', {body: 'order'});
  t.is(proxy.received.length, 2);
});

test('a request whose connection opens while the backoff of its endpoint begins goes elsewhere', async t => {
  // Guards against requests that were placed before the backoff was known, and
  // reach the endpoint long afterwards over a slow connection.
  const proxy = await TestProxy.start({}, [answerWhole, answerLater]);
  t.teardown(() => proxy.close());
  const {directory, monitor} = proxy.state;
  const begin = monitor.begin.bind(monitor);
  monitor.begin = (id, work, nowMs) => {
    begin(id, work, nowMs);
    const endpoint = directory.find(id)!;
    if (id === 'endpoint-0') directory.noteBackoff(endpoint, 60_000, nowMs);
  };
  for (let count = 0; count < 10; count += 1) {
    const answer = await proxy.call(`${count}`, {body: 'order'});
    t.is(answer.status, 200);
  }
  t.is(countAt(proxy, 'endpoint-0'), 0);
});

test('an endpoint that restarted under its id is not in backoff', async t => {
  // Guards against an endpoint that stays without requests after its restart.
  const proxy = await TestProxy.start({}, [requestBackoff(60_000)]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  const {directory} = proxy.state;
  const [endpoint] = directory.readAll();
  directory.replace([{...endpoint, bornEpochMs: 2}], 1);
  await proxy.call('two', {body: 'order'});
  t.is(proxy.received.length, 2);
});

test('a backoff that another endpoint at the address requests counts for nobody', async t => {
  // Guards against endpoints shut out since an address was used again.
  const misdirect = requestBackoff(60_000, 421);
  const proxy = await TestProxy.start({}, [misdirect]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  const {directory} = proxy.state;
  t.is(directory.backoffLeftMs(directory.readAll()[0], proxy.nowMs()), 0);
  // Longer than the endpoint counts as gone, shorter than the backoff.
  proxy.skippedMs = 10_000;
  await proxy.call('two', {body: 'order'});
  t.is(proxy.received.length, 2);
});
