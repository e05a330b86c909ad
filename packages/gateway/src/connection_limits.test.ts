import {once} from 'node:events';
import net from 'node:net';
import test from 'ava';
import {standStill, startCallers} from './test_support/caller_thread.js';
import {
  SLOW_ROUTE,
  startGateway,
  TestEndpoint,
  waitUntil,
} from './test_support/test_gateway.js';

const HEADER_TIMEOUT_MS = 100;
const IDLE_TIMEOUT_MS = 100;
/** Limits are applied with a margin, and checked each second. */
const MARGIN_MS = 2000;
const CHECK_EVERY_MS = 1000;

async function startWithShortLimits() {
  const endpoint = new TestEndpoint((response, id) => {
    response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
    response.end(`answer to ${id}`);
  });
  await endpoint.start();
  const started = await startGateway({
    graceMs: 8000,
    limits: {
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    },
  });
  started.configuration.put('1');
  started.endpoints.put(endpoint.address);
  await waitUntil(() => started.gateway.isReady);
  return {...started, endpoint};
}

function requestText(id: string): string {
  return (
    `GET /x HTTP/1.1\r\nHost: ${SLOW_ROUTE.host}\r\n` +
    `X-Request-Id: ${id}\r\nX-Waits-Ms: 8000\r\n\r\n`
  );
}

/** Stands still over a time from now, from after sockets have been read. */
async function standStillBetween(fromMs: number, toMs: number): Promise<void> {
  await new Promise(done => setTimeout(done, fromMs));
  await new Promise(done => setImmediate(done));
  standStill(toMs - fromMs);
}

test('a connection without a request is closed as timed out, not as malformed', async t => {
  // Guards against requests that cross the close of a connection opened ahead and
  // get an answer that forbids their repetition.
  const {gateway, callers, endpoint} = await startWithShortLimits();
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const unused = net.connect(callers, '127.0.0.1');
  let received = '';
  unused.on('data', data => (received += data.toString()));
  await once(unused, 'close');
  t.regex(received, /^HTTP\/1.1 408 /);
  t.regex(received, /\r\nConnection: close\r\n/);
});

test('half a head is not waited for without end', async t => {
  // Guards against connections that stay open for good once a limit is checked
  // against what has arrived.
  const {gateway, callers, endpoint} = await startWithShortLimits();
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const slow = net.connect(callers, '127.0.0.1');
  let received = '';
  slow.on('data', data => (received += data.toString()));
  const writing = setInterval(() => slow.write('X-More: 1\r\n'), 50);
  t.teardown(() => clearInterval(writing));
  slow.on('error', () => undefined);
  slow.write('GET /x HTTP/1.1\r\n');
  await once(slow, 'close');
  t.regex(received, /^HTTP\/1.1 408 /);
});

test('a first request that arrived during a standstill is answered after the header timeout', async t => {
  // Guards against a limit of a connection that runs out before what has arrived
  // in time is read.
  const {gateway, callers: port, endpoint} = await startWithShortLimits();
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const {received} = await startCallers({
    port,
    callers: [
      [
        {atMs: 0, text: ''},
        {atMs: 1000, text: requestText('first')},
      ],
    ],
  });
  await standStillBetween(
    500,
    MARGIN_MS + HEADER_TIMEOUT_MS + 2 * CHECK_EVERY_MS,
  );
  const [answer] = await received;
  t.regex(answer, /answer to first/);
});

test('a request that arrived during a standstill is answered after the idle timeout', async t => {
  // Guards against a kept connection that is closed with a request in the kernel's
  // buffer.
  const {
    gateway,
    callers: port,
    endpoint,
    lines,
  } = await startWithShortLimits();
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const {received} = await startCallers({
    port,
    callers: [
      [
        {atMs: 0, text: requestText('before')},
        {atMs: 1000, text: requestText('late')},
      ],
    ],
  });
  await waitUntil(() => lines.some(line => line.includes('"request"')));
  await standStillBetween(500, MARGIN_MS + IDLE_TIMEOUT_MS + 1000);
  const [answers] = await received;
  t.regex(answers, /answer to before[^]*answer to late/);
});

test('a request that comes after the error answer of its connection is not run', async t => {
  // Guards against requests that run though their callers have been told that
  // they didn't, on connections that only one side has closed.
  const {gateway, callers, endpoint} = await startWithShortLimits();
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const late = net.connect({
    port: callers,
    host: '127.0.0.1',
    allowHalfOpen: true,
  });
  late.on('error', () => undefined);
  let received = '';
  late.on('data', data => (received += data.toString()));
  await once(late, 'end');
  late.write(requestText('late'));
  const closed = once(late, 'close');
  await new Promise(done => setTimeout(done, CHECK_EVERY_MS));
  late.end();
  await closed;
  t.regex(received, /^HTTP\/1.1 408 /);
  t.deepEqual(endpoint.begun, []);
});
