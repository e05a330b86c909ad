import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const ENDPOINT = brandAs<EndpointId>('endpoint-0');
const LIMIT = 'X-Limit: 0';
const LEAVING = 'X-Leaving: 1';
const BACKOFF = 'X-Retry-After-Ms: 60000';

function idOf(request: string): string {
  return /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
}

const answerWith = (status: number, ...headers: string[]): Script => {
  return (socket, request) =>
    socket.end(answerBytes(idOf(request), {status, headers}));
};

test('what another endpoint at the address announces counts for nobody', async t => {
  // Guards against endpoints that get too few requests since another one has
  // used their address.
  const misdirect = answerWith(421, LIMIT, LEAVING, BACKOFF);
  const proxy = await TestProxy.start({}, [misdirect]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  t.is(proxy.state.rateLimits.find(ENDPOINT), undefined);
  t.false(proxy.state.directory.find(ENDPOINT)?.isLeaving);
  // Longer than the endpoint counts as gone, shorter than the backoff.
  proxy.skippedMs = 10_000;
  await proxy.call('two', {body: 'order'});
  t.is(proxy.received.length, 2);
});

test('what the answer to another request announces counts for nobody', async t => {
  // Guards against endpoints bound by an answer that wasn't theirs.
  const answerOther: Script = socket =>
    socket.end(answerBytes('other', {headers: [LIMIT, LEAVING]}));
  const proxy = await TestProxy.start({}, [answerOther]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  t.is(proxy.state.rateLimits.find(ENDPOINT), undefined);
  t.false(proxy.state.directory.find(ENDPOINT)?.isLeaving);
});

test('a rate limit holds while the row of its endpoint is missing', async t => {
  // Guards against a burst at an overloaded endpoint whose row the store lost
  // in an outage.
  const proxy = await TestProxy.start({}, [answerWith(200, LIMIT)]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  const {state} = proxy;
  const endpoints = state.directory.readAll();
  state.directory.replace([], 1);
  state.evictStale(performance.now());
  state.directory.replace(endpoints, 2);
  state.evictStale(performance.now());
  t.is(state.rateLimits.find(ENDPOINT), 0);
});

test('an incarnation is not bound by the limit and load of the one before', async t => {
  // Guards against an endpoint that gets too few requests after a restart.
  const proxy = await TestProxy.start({}, [answerWith(200, LIMIT)]);
  t.teardown(() => proxy.close());
  await proxy.call('one', {body: 'order'});
  const {state} = proxy;
  const atMs = performance.now();
  const load = {running: 4, waiting: 9, capacity: 4};
  const reading = {endpoint: ENDPOINT, load, rateLimitPerS: 0, atMs};
  state.loads.noteOwn(reading);
  const [endpoint] = state.directory.readAll();
  state.directory.replace([{...endpoint, bornEpochMs: 2}], 2);
  state.evictStale(performance.now());
  t.is(state.rateLimits.find(ENDPOINT), undefined);
  t.is(state.monitor.estimateLoad(ENDPOINT, performance.now()), 0);
  t.is((await proxy.call('two', {body: 'order'})).status, 200);
});

test('a late answer of the former incarnation does not bind the new one', async t => {
  // Guards against a new incarnation that gets too few requests.
  let answer: (() => void) | undefined;
  const answerLate: Script = (socket, request) => {
    answer = () => answerWith(200, LIMIT, LEAVING)(socket, request);
  };
  const proxy = await TestProxy.start({}, [answerLate]);
  t.teardown(() => proxy.close());
  const pending = proxy.call('one', {body: 'order'});
  while (answer === undefined) await new Promise(done => setTimeout(done, 5));
  const {directory, rateLimits} = proxy.state;
  const [endpoint] = directory.readAll();
  directory.replace([{...endpoint, bornEpochMs: 2}], 1);
  answer();
  await pending;
  t.is(rateLimits.find(ENDPOINT), undefined);
  t.false(directory.find(ENDPOINT)?.isLeaving);
});
