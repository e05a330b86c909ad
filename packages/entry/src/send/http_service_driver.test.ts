import net, {type AddressInfo, type Socket} from 'node:net';
import {brandAs} from '@snipestage/types/ids.js';
import test, {type ExecutionContext} from 'ava';
import {EndpointError} from './endpoint_error.js';
import {HttpServiceDriver} from './http_service_driver.js';

/** Beyond the time that any answer takes that is given up. */
const LONG_MS = 60_000;
const HALF = 'HTTP/1.1 200 OK\r\n\r\nhalf of it';

/** @param answer is called for each connection once a request has arrived. */
async function startService(
  t: ExecutionContext,
  answer: (socket: Socket, server: net.Server) => void,
): Promise<string> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket, server));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function call(url: string, timeoutMs = 5000, body = Buffer.alloc(0)) {
  return new HttpServiceDriver().call({
    url,
    method: body.length > 0 ? 'POST' : 'GET',
    path: '/x',
    headers: {},
    body,
    attempt: brandAs('r.1'),
    signal: new AbortController().signal,
    timeoutMs,
  });
}

test('an answer without a length is whole when its connection closes', async t => {
  const url = await startService(t, socket => socket.end(HALF));
  t.is((await call(url)).body.toString(), 'half of it');
});

for (const delayMs of [0, 30]) {
  test(`an answer without a length is broken when its connection is reset (${delayMs} ms later)`, async t => {
    // Guards against half an answer from a service that crashes.
    const url = await startService(t, socket => {
      socket.write(HALF);
      if (delayMs === 0) socket.resetAndDestroy();
      else setTimeout(() => socket.resetAndDestroy(), delayMs);
    });
    const error = await t.throwsAsync(call(url), {instanceOf: EndpointError});
    t.is((error as EndpointError).kind, 'broken');
  });
}

test('an answer without a length is broken when its request was not sent', async t => {
  // Guards against half an answer whose connection is reset after its end.
  const url = await startService(t, socket => {
    socket.pause();
    socket.end(HALF);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const body = Buffer.alloc(16_777_216);
  const error = await t.throwsAsync(call(url, 5000, body));
  t.is((error as EndpointError).kind, 'broken');
});

for (const status of ['000', '099', '600', '999']) {
  test(`an answer with the status ${status} is none`, async t => {
    // Guards against passing on the answer of a service in trouble.
    const head = `HTTP/1.1 ${status} None\r\nContent-Length: 0\r\n\r\n`;
    const url = await startService(t, socket => socket.end(head));
    const error = await t.throwsAsync(call(url));
    t.is((error as EndpointError).kind, 'broken');
  });
}

test('an answer without a length is broken when its service is gone', async t => {
  // Guards against a crash whose close doesn't differ from that of an answer.
  const url = await startService(t, (socket, server) => {
    server.close();
    socket.end(HALF);
  });
  const error = await t.throwsAsync(call(url), {instanceOf: EndpointError});
  t.is((error as EndpointError).kind, 'broken');
});

test('an answer that doesn’t end is given up', async t => {
  // Guards against one answer that takes all memory of the process.
  const part = 'x'.repeat(1_000_000);
  const url = await startService(t, socket => {
    const repeat = () => {
      if (!socket.destroyed) socket.write(part, repeat);
    };
    socket.write('HTTP/1.1 200 OK\r\n\r\n', repeat);
  });
  const answer = call(url, LONG_MS);
  const error = await t.throwsAsync(answer, {instanceOf: EndpointError});
  t.like(error, {kind: 'broken', verdict: 'may_have_run'});
  t.regex(error.message, /too long/);
});

test('a head that ends midway is no answer', async t => {
  // Guards against a success without a body for a service that stopped inside
  // its head.
  const head = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n';
  for (let cutAt = 0; cutAt < head.length; cutAt += 1) {
    const part = head.slice(0, cutAt);
    const url = await startService(t, socket => socket.end(part));
    const error = await t.throwsAsync(call(url), {instanceOf: EndpointError});
    t.like(error, {kind: 'broken', verdict: 'may_have_run'}, String(cutAt));
  }
});
