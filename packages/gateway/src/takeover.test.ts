import {setTimeout as pause} from 'node:timers/promises';
import type {Route} from '@snipestage/routing/route.js';
import test, {type ExecutionContext} from 'ava';
import {
  answerBytes,
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const ROUTE: Partial<Route> = {
  kind: 'stream',
  isResumable: true,
  maxAttempts: 2,
  pauseTargetMs: 150,
  latencyTargetMs: 100,
};
/** Longer than the silence after which a hedged attempt begins. */
const LONG_PAUSE_MS = 1700;
/** After which a hedged attempt begins, with some time for the connection. */
const ASKED_BY_MS = 1450;
/** Longest time for which two endpoints may work on one stream. */
const BOTH_WORK_FOR_MS = 400;
const EVENTS = [1, 2, 3, 4].map(id => `id: ${id}\ndata: ${id}\n\n`);
const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

const afterOf = (request: string): number =>
  Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);

/** Sends all events, with a pause after the first one that it sends. */
function stream(pauseMs: number): Script {
  return (socket, request) => {
    const events = EVENTS.slice(afterOf(request)).map(chunk);
    socket.write(streamHead(idOf(request)) + events[0]);
    setTimeout(() => socket.end(events.slice(1).join('') + chunk('')), pauseMs);
  };
}

/** Sends the first event only. */
const standStill: Script = (socket, request) => {
  socket.write(streamHead(idOf(request)) + chunk(EVENTS[0]));
};

const reject: Script = (socket, request) => {
  const headers = ['X-Not-Run: 1'];
  socket.end(answerBytes(idOf(request), {status: 503, headers, body: ''}));
};

const queue: Script = () => undefined;

async function begin(
  t: ExecutionContext,
  route: Partial<Route>,
  scripts: Readonly<Record<string, Script>>,
): Promise<TestProxy> {
  const proxy = await TestProxy.start(route, []);
  t.teardown(() => proxy.close());
  for (const [id, script] of Object.entries(scripts))
    await proxy.addEndpoint(id, script);
  return proxy;
}

/** As many endpoints as scripts; each next request gets the next script. */
function inOrder(...scripts: readonly Script[]): Record<string, Script> {
  let taken = 0;
  const script: Script = (socket, request) => {
    scripts[Math.min(taken, scripts.length - 1)](socket, request);
    taken += 1;
  };
  return Object.fromEntries(
    scripts.map((_, index) => [`engine-${index}`, script]),
  );
}

const sentTo = (proxy: TestProxy) => proxy.received.map(each => each.endpoint);

test('a stream goes on at its endpoint when the other one is full', async t => {
  // Guards against streams that are cut for an endpoint that rejects them.
  const proxy = await begin(t, ROUTE, inOrder(stream(LONG_PAUSE_MS), reject));
  const answer = await proxy.call('one', {body: 'prompt'});
  t.true(answer.isComplete);
  t.is(answer.body, EVENTS.join(''));
  t.is(proxy.received.length, 2);
});

test('a stream goes on at its endpoint when the other one knows it not', async t => {
  // Guards against a stream that is cut for an answer that can't continue it.
  const refuse: Script = (socket, request) => {
    socket.end(answerBytes(idOf(request), {status: 404, body: 'unknown'}));
  };
  const proxy = await begin(t, ROUTE, inOrder(stream(LONG_PAUSE_MS), refuse));
  const answer = await proxy.call('one', {body: 'prompt'});
  t.true(answer.isComplete);
  t.is(answer.body, EVENTS.join(''));
  t.is(proxy.received.length, 2);
});

test('a rejected stream is offered to the next endpoint', async t => {
  // Guards against waiting for a dead endpoint while a third one has room.
  const scripts = inOrder(standStill, reject, stream(0));
  const proxy = await begin(t, ROUTE, scripts);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.true(answer.isComplete);
  t.is(answer.body, EVENTS.join(''));
  t.is(new Set(sentTo(proxy)).size, 3);
});

test('a silent endpoint loses its stream as soon as another has begun it', async t => {
  // Guards against two endpoints that work on one stream.
  let closedAtMs = Number.POSITIVE_INFINITY;
  let begunAtMs = 0;
  const silent: Script = (socket, request) => {
    socket.on('close', () => (closedAtMs = performance.now()));
    standStill(socket, request);
  };
  const next: Script = (socket, request) => {
    begunAtMs = performance.now();
    stream(BOTH_WORK_FOR_MS)(socket, request);
  };
  const proxy = await begin(t, ROUTE, inOrder(silent, next));
  const answer = await proxy.call('one', {body: 'prompt'});
  t.is(answer.body, EVENTS.join(''));
  t.is(afterOf(proxy.received[1].request), 1);
  t.true(closedAtMs - begunAtMs < BOTH_WORK_FOR_MS);
});

test('an endpoint that only queues a stream loses it when the first goes on', async t => {
  // Guards against streams that begin at a second endpoint beside the first.
  const proxy = await begin(t, ROUTE, inOrder(stream(LONG_PAUSE_MS), queue));
  const answer = await proxy.call('one', {body: 'prompt'});
  t.true(answer.isComplete);
  t.is(answer.body, EVENTS.join(''));
  await pause(50);
  t.true(proxy.closed.includes(sentTo(proxy)[1]));
});

test('an endpoint whose queue a stream has left counts as an attempt', async t => {
  // Guards against sending a stream more often than its route allows.
  const goesOnAndBreaks: Script = (socket, request) => {
    standStill(socket, request);
    setTimeout(() => socket.write(chunk(EVENTS[1])), LONG_PAUSE_MS);
    setTimeout(() => socket.resetAndDestroy(), LONG_PAUSE_MS + 100);
  };
  const scripts = inOrder(goesOnAndBreaks, queue, stream(0));
  const proxy = await begin(t, ROUTE, scripts);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.false(answer.isComplete);
  t.is(answer.body, EVENTS[0] + EVENTS[1]);
  t.is(proxy.received.length, 2);
});

test('no more endpoints than the route allows get a stream', async t => {
  // Guards against a third run while the second one may be about to begin.
  const scripts = inOrder(standStill, queue, stream(0));
  const proxy = await begin(t, {...ROUTE, timeoutMs: 3500}, scripts);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.false(answer.isComplete);
  t.is(proxy.received.length, 2);
});

test('a hedged attempt keeps a stream whose own endpoint breaks off', async t => {
  // Guards against losing a stream that another endpoint has in its queue.
  const breaksOff: Script = (socket, request) => {
    standStill(socket, request);
    setTimeout(() => socket.resetAndDestroy(), ASKED_BY_MS);
  };
  const late: Script = (socket, request) => {
    setTimeout(() => stream(0)(socket, request), 500);
  };
  const proxy = await begin(t, ROUTE, inOrder(breaksOff, late));
  const answer = await proxy.call('one', {body: 'prompt'});
  t.is(answer.body, EVENTS.join(''));
  t.is(proxy.received.length, 2);
});

test('a second silence begins an attempt at a third endpoint', async t => {
  // Guards against a stream that stays at the second of two dead endpoints.
  const scripts = inOrder(standStill, standStillAfterHead, stream(0));
  const proxy = await begin(t, {...ROUTE, maxAttempts: 3}, scripts);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.is(answer.body, EVENTS.join(''));
  t.is(new Set(sentTo(proxy)).size, 3);
});

const standStillAfterHead: Script = (socket, request) => {
  socket.write(streamHead(idOf(request)) + chunk(EVENTS[afterOf(request)]));
};

for (const {title, end} of [
  {
    title: 'a caller that leaves',
    end: (_proxy: TestProxy, caller: AbortController) => caller.abort(),
  },
  {
    title: 'an instance that ends',
    end: (proxy: TestProxy) => proxy.giveUpAll(),
  },
]) {
  test(`${title} ends the attempts at both endpoints`, async t => {
    // Guards against endpoints that work for nobody.
    const proxy = await begin(t, ROUTE, inOrder(standStill, queue));
    const caller = new AbortController();
    const answer = proxy
      .call('one', {body: 'prompt', signal: caller.signal})
      .catch(() => undefined);
    await pause(ASKED_BY_MS);
    t.is(proxy.received.length, 2);
    end(proxy, caller);
    await answer;
    await pause(50);
    t.deepEqual([...new Set(proxy.closed)].sort(), sentTo(proxy).sort());
  });
}

test('a request keeps its place in a queue while another endpoint is full', async t => {
  // Guards against requests that lose their turn for an endpoint without room.
  const late: Script = (socket, request) => {
    setTimeout(() => stream(0)(socket, request), 700);
  };
  const proxy = await begin(t, ROUTE, inOrder(late, reject));
  const answer = await proxy.call('one', {body: 'prompt'});
  t.is(answer.status, 200);
  t.is(answer.body, EVENTS.join(''));
  t.is(proxy.received.length, 2);
});

test('a lookup is answered by whichever endpoint answers first', async t => {
  // Guards against failing lookups whose endpoint was only late.
  const late: Script = (socket, request) => {
    setTimeout(() => socket.end(answerBytes(idOf(request))), 700);
  };
  const route = {...ROUTE, kind: 'idempotent', isResumable: false} as const;
  const full = await begin(t, route, inOrder(late, reject));
  t.is((await full.call('one')).status, 200);
  const free = await begin(t, route, inOrder(queue, late));
  t.is((await free.call('two')).status, 200);
});

test('a stream that has not begun is offered to no other version', async t => {
  // Guards against a record that names a version at which it doesn't begin.
  const proxy = await begin(t, ROUTE, {});
  proxy.versionOf = id => id;
  const late: Script = (socket, request) => {
    setTimeout(() => stream(0)(socket, request), 700);
  };
  await proxy.addEndpoint('v1', late);
  await proxy.addEndpoint('v2', late);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.is(answer.body, EVENTS.join(''));
  t.is(proxy.received.length, 1);
});
