import test from 'ava';
import type {Service} from '@snipestage/routing/route.js';
import {waitUntil} from './test_support/test_gateway.js';
import {
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const STREAM = {kind: 'stream', latencyTargetMs: 40} as const;
const ENGINES: Partial<Service> = {
  engine: {batchSize: 4, cacheTokens: 1000},
};
const AFTER_LIMIT_MS = 120;

const beginNothing: Script = () => undefined;

/** Begins a stream at once and doesn't end it. */
const beginAtOnce: Script = (socket, request) => {
  const id = /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  socket.write(streamHead(id) + chunk('id: 1\ndata: a\n\n'));
};

async function startEngine(script: Script, service: Partial<Service>) {
  const proxy = await TestProxy.start(STREAM, [script]);
  proxy.configure(STREAM, service);
  const caller = new AbortController();
  const call = proxy.call('one', {body: 'prompt', signal: caller.signal});
  const ended = call.catch(() => 'left');
  const close = async () => {
    caller.abort();
    await ended;
    proxy.close();
  };
  const [endpoint] = proxy.state.directory.readAll();
  const isOverdue = () =>
    proxy.log.lines.some(line => line.includes('endpoint_overdue'));
  const waiting = () =>
    proxy.state.monitor.estimateWaiting(endpoint.id, performance.now());
  return {isOverdue, waiting, close};
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}

test('an engine that begins nothing has a waiting request while its caller still waits', async t => {
  // Guards against urgent requests that go on to an engine which begins none:
  // it reports no load, so that it looks idle until its callers have left.
  const {isOverdue, waiting, close} = await startEngine(beginNothing, ENGINES);
  t.teardown(close);
  t.is(waiting(), 0);
  await waitUntil(isOverdue);
  t.true(waiting() > 0.9);
});

test('an engine that has begun a stream has no waiting request', async t => {
  const {isOverdue, waiting, close} = await startEngine(beginAtOnce, ENGINES);
  t.teardown(close);
  await sleep(AFTER_LIMIT_MS);
  t.false(isOverdue());
  t.is(waiting(), 0);
});

test('an endpoint of a plain service is judged by its own means', async t => {
  // Guards against bookings that avoid an endpoint as one of them took long.
  const {isOverdue, close} = await startEngine(beginNothing, {});
  t.teardown(close);
  await sleep(AFTER_LIMIT_MS);
  t.false(isOverdue());
});
