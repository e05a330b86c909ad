import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const TIMEOUT_MS = 3000;
/** By which an endpoint may be handed more than the caller has left. */
const MAX_EXCESS_MS = 500;
const LEAVES_AFTER_MS = 15;
const AFTER_CATCH_UP_MS = 150;
const HEADERS = {'X-Waits-Ms': String(TIMEOUT_MS)};

const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
const answer: Script = (socket, request) =>
  socket.write(answerBytes(idOf(request)));

test('a request that may have waited hands on only the time that is left', async t => {
  // Guards against endpoints that work for callers that have left, since the
  // instance stood still before it read their requests.
  const proxy = await TestProxy.start({}, [answer]);
  t.teardown(() => proxy.close());
  proxy.heldUpMs = 1200;
  const {status} = await proxy.call('one', {body: 'order', headers: HEADERS});
  t.is(status, 200);
  const [{request}] = proxy.received;
  const timeLeftMs = Number(/x-time-left-ms: (\d+)/i.exec(request)?.[1]);
  t.true(timeLeftMs <= TIMEOUT_MS - proxy.heldUpMs);
  const line = proxy.log.lines.find(each => each.includes('"event":"request"'));
  t.regex(line ?? '', /"heldUpMs":1200/);
});

test('a request whose time may be over still gets a short one', async t => {
  // Guards against an overloaded instance that refuses requests which have just
  // come, as it can't tell them from those that have waited.
  const proxy = await TestProxy.start({}, [answer]);
  t.teardown(() => proxy.close());
  proxy.heldUpMs = TIMEOUT_MS;
  const {status} = await proxy.call('one', {body: 'order', headers: HEADERS});
  t.is(status, 200);
  const [{request}] = proxy.received;
  const timeLeftMs = Number(/x-time-left-ms: (\d+)/i.exec(request)?.[1]);
  t.true(timeLeftMs > 0 && timeLeftMs <= MAX_EXCESS_MS);
});

test('a request whose caller has left before it was all read is sent nowhere', async t => {
  // Guards against work for nobody: an instance stood still, and reads a request
  // before the close that came long after it on the same connection.
  const proxy = await TestProxy.start({}, [answer]);
  t.teardown(() => proxy.close());
  proxy.heldUpMs = 1200;
  const caller = new AbortController();
  proxy.onRequest = () => setTimeout(() => caller.abort(), LEAVES_AFTER_MS);
  const call = proxy.call('one', {body: 'order', signal: caller.signal});
  await t.throwsAsync(call);
  await new Promise(done => setTimeout(done, AFTER_CATCH_UP_MS));
  t.deepEqual(proxy.received, []);
  const line = proxy.log.lines.find(each => each.includes('"event":"request"'));
  t.regex(line ?? '', /"reason":"caller_left"/);
});
