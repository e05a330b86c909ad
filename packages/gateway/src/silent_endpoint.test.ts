import type {Socket} from 'node:net';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  answerBytes,
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

/** A healthy endpoint may send nothing for about this long. */
const SILENT_FOR_MS = 1100;
const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

const answerLate: Script = (socket, request) => {
  setTimeout(() => socket.end(answerBytes(idOf(request))), SILENT_FOR_MS);
};

test('a request that must not be repeated waits for a silent endpoint', async t => {
  // Guards against losing a request, and blaming it, for a pause of its endpoint.
  const proxy = await TestProxy.start(
    {kind: 'non_idempotent', latencyTargetMs: 100},
    [answerLate, answerLate],
  );
  t.teardown(() => proxy.close());
  const answer = await proxy.call('one', {body: 'order'});
  t.is(answer.status, 200);
  t.is(proxy.received.length, 1);
  t.false(proxy.log.lines.some(line => line.includes('endpoint_crashed')));
});

test('a stream outlasts a pause of its endpoint of about a second', async t => {
  // Guards against resuming all streams of an endpoint elsewhere at once, where
  // their prompts have to be read again.
  const pauseInside: Script = (socket, request) => {
    socket.write(streamHead(idOf(request)) + chunk('id: 1\ndata: a\n\n'));
    setTimeout(
      () => socket.end(chunk('id: 2\ndata: b\n\n') + chunk('')),
      SILENT_FOR_MS,
    );
  };
  const proxy = await TestProxy.start(
    {kind: 'stream', isResumable: true, maxAttempts: 3, pauseTargetMs: 150},
    [pauseInside, pauseInside],
  );
  t.teardown(() => proxy.close());
  const answer = await proxy.call('one', {body: 'prompt'});
  t.true(answer.isComplete);
  t.is(proxy.received.length, 1);
});

/** Longer than the silence after which another endpoint is tried. */
const LONG_PAUSE_MS = 1600;
/** Retries that the proxy's budget always allows. */
const RETRIES = 10;
const SERVICE = brandAs<ServiceId>('service');
const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'];

/** Engines that send the first event of all streams, and then pause together. */
function pausingEngine(streams: number): Script {
  const waiting: Array<() => void> = [];
  let resumeAtMs = Number.POSITIVE_INFINITY;
  const endFrom = (socket: Socket, first: number) => {
    const delayMs = Math.max(0, resumeAtMs - performance.now());
    const rest = EVENTS.slice(first).map(chunk).join('') + chunk('');
    setTimeout(() => socket.end(rest), delayMs);
  };
  return (socket, request) => {
    if (/last-event-id/i.test(request)) {
      socket.write(streamHead(idOf(request)));
      return endFrom(socket, 1);
    }
    waiting.push(() => {
      socket.write(streamHead(idOf(request)) + chunk(EVENTS[0]));
      endFrom(socket, 1);
    });
    if (waiting.length < streams) return;
    resumeAtMs = performance.now() + LONG_PAUSE_MS;
    for (const begin of waiting) begin();
  };
}

test('streams whose endpoints pause together all go on', async t => {
  // Guards against streams that are cut for a pause of their endpoints, when
  // more of them are given up at once than may be sent again.
  const streams = 8;
  const engine = pausingEngine(streams);
  const proxy = await TestProxy.start(
    {kind: 'stream', isResumable: true, maxAttempts: 2, pauseTargetMs: 150},
    [engine, engine],
  );
  t.teardown(() => proxy.close());
  const budget = proxy.state.budgetFor(SERVICE);
  for (let taken = 0; taken < RETRIES - 1; taken += 1)
    budget.tryTake(proxy.nowMs());
  const answers = Array.from({length: streams}, (_, index) =>
    proxy.call(`stream-${index}`, {body: 'prompt'}),
  );
  for (const answer of await Promise.all(answers)) {
    t.like(answer, {isComplete: true, body: EVENTS.join('')});
  }
});
