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
