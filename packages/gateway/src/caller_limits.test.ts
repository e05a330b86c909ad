import net, {type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
  get,
  SLOW_ROUTE,
  startGateway,
  TestEndpoint,
  waitUntil,
  type TestGatewayOptions,
} from './test_support/test_gateway.js';

async function start(t: ExecutionContext, options: TestGatewayOptions = {}) {
  const endpoint = new TestEndpoint((response, id) => {
    response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
    response.end(`answer to ${id}`);
  });
  await endpoint.start();
  t.teardown(() => endpoint.close());
  const started = await startGateway({graceMs: 500, ...options});
  t.teardown(() => started.gateway.stop());
  started.configuration.put('1');
  started.endpoints.put(endpoint.address);
  await waitUntil(() => started.gateway.isReady);
  return started;
}

/** A connection, and what has come on it. */
class Caller {
  text = '';
  isClosed = false;
  readonly socket: Socket;

  constructor(t: ExecutionContext, port: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.on('data', data => (this.text += String(data)));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    t.teardown(() => this.socket.destroy());
  }

  get answers(): number {
    return this.text.split('HTTP/1.1 ').length - 1;
  }
}

const requestText = (id: string): string =>
  `GET /x HTTP/1.1\r\nHost: ${SLOW_ROUTE.host}\r\nX-Request-Id: ${id}\r\n\r\n`;

const requests = (count: number): string =>
  Array.from({length: count}, (_, index) => requestText(`r-${index}`)).join('');

test('some requests sent ahead are answered in their order', async t => {
  // Guards against a bound that callers meet who don't wait for each answer.
  const {callers} = await start(t);
  const caller = new Caller(t, callers);
  caller.socket.write(requests(20));
  await waitUntil(() => caller.answers === 20);
  const ids = [...caller.text.matchAll(/answer to r-(\d+)/g)].map(
    ([, id]) => id,
  );
  t.deepEqual(
    ids,
    Array.from({length: 20}, (_, index) => String(index)),
  );
  t.false(caller.isClosed);
});

test('a connection with too many requests sent ahead is closed', async t => {
  // Guards against thousands of requests in progress for one connection.
  const {callers} = await start(t);
  const caller = new Caller(t, callers);
  caller.socket.write(requests(2000));
  await waitUntil(() => caller.isClosed);
  t.true(caller.answers < 100);
  const answer = await get(callers, undefined, {
    Host: SLOW_ROUTE.host,
    'X-Request-Id': 'other',
  });
  t.is(answer.statusCode, 200);
});

test('a body that does not end in its time is answered 408', async t => {
  // Guards against clients that hold a connection and its memory for good.
  const {callers, lines} = await start(t);
  const caller = new Caller(t, callers);
  caller.socket.write(
    `POST /x HTTP/1.1\r\nHost: ${SLOW_ROUTE.host}\r\nX-Request-Id: slow\r\n` +
      'X-Waits-Ms: 300\r\nContent-Length: 10\r\n\r\n123456789',
  );
  await waitUntil(() => caller.isClosed);
  t.regex(caller.text, /^HTTP\/1.1 408 /);
  t.true(lines.some(line => line.includes('"reason":"body_too_slow"')));
});

test('a head that has no end is refused near the configured limit', async t => {
  // Guards against heads of which each connection may hold many times the limit.
  const {callers} = await start(t, {limits: {maxHeaderBytes: 4000}});
  const caller = new Caller(t, callers);
  const line = `X-Filler: ${'x'.repeat(1000)}\r\n`;
  caller.socket.write(`GET /x HTTP/1.1\r\n${line.repeat(30)}`);
  await waitUntil(() => caller.isClosed);
  t.regex(caller.text, /^HTTP\/1.1 431 /);
});
