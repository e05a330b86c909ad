import test from 'ava';
import {
  answerBytes,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const TIMEOUT_MS = 3000;
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

test('a request whose time may be over is refused as not run', async t => {
  const proxy = await TestProxy.start({}, [answer]);
  t.teardown(() => proxy.close());
  proxy.heldUpMs = TIMEOUT_MS;
  const {status, headers} = await proxy.call('one', {
    body: 'order',
    headers: HEADERS,
  });
  t.is(status, 503);
  t.truthy(headers['retry-after']);
  t.deepEqual(proxy.received, []);
});
