import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import test from 'ava';
import {
  get,
  SLOW_ROUTE,
  startGateway,
  TestEndpoint,
  waitUntil,
} from './test_support/test_gateway.js';

/** The balancer has noticed by then, and there is still some grace time. */
const LATE_IN_A_STOP_MS = 2500;

/** A gateway with one endpoint behind its route. */
async function startWithEndpoint(
  endpoint: TestEndpoint,
  changes: Partial<typeof SLOW_ROUTE> = {},
) {
  await endpoint.start();
  const started = await startGateway({routes: [{...SLOW_ROUTE, ...changes}]});
  started.configuration.put('1');
  started.endpoints.put(endpoint.address);
  await waitUntil(() => started.gateway.isReady);
  return started;
}

function headersOf(
  id: string,
  callerTimeoutMs = 10_000,
): Record<string, string> {
  return {
    host: SLOW_ROUTE.host,
    'x-request-id': id,
    'x-waits-ms': String(callerTimeoutMs),
  };
}

/** A request as raw text, for a connection that the test itself opens. */
function requestBytes(id: string): string {
  const lines = Object.entries(headersOf(id)).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return ['GET /x HTTP/1.1', ...lines, '\r\n'].join('\r\n');
}

/** An endpoint that sends its complete answer after a delay. */
function answersAfter(delayMs: number): TestEndpoint {
  return new TestEndpoint((response, id) => {
    setTimeout(() => {
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.end('done');
    }, delayMs);
  });
}

function pause(delayMs: number): Promise<void> {
  return new Promise(done => setTimeout(done, delayMs));
}

test('an instance that finishes its last requests accepts no new connections', async t => {
  // A long answer delays the end of a stopping instance. A connection opened in
  // its last second would be closed during its request, with an unknown
  // outcome.
  const endpoint = answersAfter(3000);
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const last = get(callers, undefined, headersOf('last'));
  await waitUntil(() => endpoint.begun.length > 0);
  const stopped = gateway.stop();
  await pause(LATE_IN_A_STOP_MS);
  await t.throwsAsync(get(callers), {code: 'ECONNREFUSED'});
  t.is((await last).statusCode, 200);
  await stopped;
});

test('the log shows how late in a stop a request came and on what connection', async t => {
  // When a stop loses a request, its log line has to show whether it came on a
  // new connection or on one that its caller had kept.
  const endpoint = answersAfter(0);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const agent = new http.Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  await get(callers, agent, headersOf('before'));
  const stopped = gateway.stop();
  await get(callers, agent, headersOf('after'));
  await stopped;
  const described = lines
    .map(line => JSON.parse(line))
    .filter(({event}) => event === 'request');
  t.is(described[0].sinceStopMs, undefined);
  t.is(described[1].connectionRequests, 2);
  t.true(described[1].sinceStopMs >= 0);
  t.true(described[1].connectionAgeMs >= described[1].sinceStopMs);
});

for (const lateMs of [500, LATE_IN_A_STOP_MS]) {
  test(`a request on a connection kept open by a stream is not accepted ${lateMs} ms into a stop`, async t => {
    // The head of a stream sent before the signal doesn't announce that the
    // connection closes, so its caller sends the next request when the stream
    // ends, seconds after the signal. If the instance forwarded it, the grace
    // time could end before the answer: the connection would close, with an
    // unknown outcome.
    let endStream: () => void = () => undefined;
    const endpoint = new TestEndpoint((response, id) => {
      if (id === 'last') setTimeout(() => response.destroy(), 3000);
      if (id !== 'stream') return;
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.write('id: 1\ndata: a\n\n');
      endStream = () => response.end();
    });
    const {gateway, callers} = await startWithEndpoint(endpoint, {
      kind: 'stream',
    });
    t.teardown(() => endpoint.close());
    const kept = net.connect(callers, '127.0.0.1');
    t.teardown(() => kept.destroy());
    let received = '';
    kept.on('data', data => {
      received += data.toString();
      if (received.endsWith('\r\n0\r\n\r\n')) kept.write(requestBytes('next'));
    });
    kept.on('error', () => undefined);
    kept.write(requestBytes('stream'));
    await waitUntil(() => received.includes('data: a'));
    const last = get(callers, undefined, headersOf('last')).catch(
      () => 'broken',
    );
    await waitUntil(() => endpoint.begun.length === 2);
    const stopped = gateway.stop();
    await pause(lateMs);
    endStream();
    await once(kept, 'close');
    t.true(received.endsWith('\r\n0\r\n\r\n'), received);
    t.notRegex(received, /connection: close/i);
    await Promise.all([last, stopped]);
    t.deepEqual(endpoint.begun, ['stream', 'last']);
  });
}

test('an idle connection is closed once the balancer has noticed a stop', async t => {
  // Its caller would regard it as usable and send the next request on it.
  const endpoint = answersAfter(3000);
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const idle = net.connect(callers, '127.0.0.1');
  idle.write('GET /x HTTP/1.1\r\nHost: nobody.example\r\n\r\n');
  await once(idle, 'data');
  const last = get(callers, undefined, headersOf('last'));
  await waitUntil(() => endpoint.begun.length > 0);
  const stopped = gateway.stop();
  await once(idle, 'close');
  t.is(await Promise.race([last, 'still running']), 'still running');
  t.is((await last).statusCode, 200);
  await stopped;
});

test('pipelined requests all get their answers in a stop', async t => {
  // If the first answer closed the connection, or the connection were regarded
  // as idle during the second request, requests would run whose answers never
  // reach their caller.
  const endpoint = new TestEndpoint((response, id) => {
    const delayMs = {first: 500, second: 2700}[id] ?? 0;
    setTimeout(() => {
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.end(`answer to ${id}`);
    }, delayMs);
  });
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const caller = net.connect(callers, '127.0.0.1');
  let received = '';
  caller.on('data', data => (received += data.toString()));
  caller.write(requestBytes('first') + requestBytes('second'));
  await waitUntil(() => endpoint.begun.length === 2);
  const stopped = gateway.stop();
  await Promise.all([once(caller, 'close'), stopped]);
  t.regex(received, /answer to first.*answer to second$/s);
});

test('a caller that disconnects with pipelined requests does not delay a stop', async t => {
  // Answers that wait behind another one emit no 'close' if their connection
  // closes. If each counted as in progress for good, every later stop would
  // take all of its grace time.
  const endpoint = answersAfter(300);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const caller = net.connect(callers, '127.0.0.1');
  caller.write(requestBytes('first') + requestBytes('second'));
  await waitUntil(() => endpoint.begun.length === 2);
  caller.destroy();
  await pause(600);
  const beganAtMs = performance.now();
  await gateway.stop();
  const tookMs = performance.now() - beganAtMs;
  t.true(tookMs < 3000, String(tookMs));
  const statuses = lines
    .map(text => JSON.parse(text))
    .filter(({event}) => event === 'request')
    .map(({status}) => status);
  t.deepEqual(statuses, [0, 0]);
});

test('a first request that comes late in a stop is refused at once as not run', async t => {
  // A caller opens a connection ahead of need and sends its first request much
  // later, while the instance is stopping. If the request were forwarded, its
  // connection would close at the end of the grace time without an answer.
  const endpoint = new TestEndpoint((response, id) => {
    if (id === 'last') setTimeout(() => response.destroy(), 3000);
  });
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const early = net.connect(callers, '127.0.0.1');
  t.teardown(() => early.destroy());
  let answer = '';
  early.on('data', data => (answer += data.toString()));
  const last = get(callers, undefined, headersOf('last')).catch(() => 'broken');
  await waitUntil(() => endpoint.begun.length > 0);
  const stopped = gateway.stop();
  await pause(LATE_IN_A_STOP_MS);
  early.write(requestBytes('late'));
  await waitUntil(() => answer.includes('\r\n\r\n'));
  t.deepEqual(endpoint.begun, ['last']);
  t.regex(answer, /^HTTP\/1.1 503 /);
  t.regex(answer, /\r\nRetry-After: /i);
  t.regex(answer, /\r\nConnection: close\r\n/i);
  await Promise.all([last, stopped]);
});

test('a request that certainly ends within the grace time is still accepted', async t => {
  // Late in a stop a caller sends a request with a short timeout on its open
  // connection. It can be answered; a refusal would cost another round trip.
  const endpoint = new TestEndpoint((response, id) => {
    const delayMs = id === 'last' ? 3000 : 20;
    setTimeout(() => {
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.end('done');
    }, delayMs);
  });
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const last = get(callers, undefined, headersOf('last'));
  await waitUntil(() => endpoint.begun.length > 0);
  const socket = net.connect(callers, '127.0.0.1');
  await once(socket, 'connect');
  const agent = new http.Agent();
  agent.createConnection = () => socket;
  const stopped = gateway.stop();
  await pause(LATE_IN_A_STOP_MS);
  const answer = await get(callers, agent, headersOf('short', 500));
  t.is(answer.statusCode, 200);
  t.is((await last).statusCode, 200);
  await stopped;
});

test('requests without an answer at the end of the grace time get a final one', async t => {
  // An endpoint hangs on the last request of a stopping instance. The
  // connection must not close without an answer, and the log must not read as
  // if the caller had disconnected.
  const endpoint = new TestEndpoint(() => undefined);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const hanging = get(callers, undefined, headersOf('hanging')).catch(
    (error: NodeJS.ErrnoException) => error.code,
  );
  await waitUntil(() => endpoint.begun.length > 0);
  await gateway.stop();
  t.like(await hanging, {statusCode: 502});
  const line = lines
    .map(text => JSON.parse(text))
    .find(({event}) => event === 'request');
  t.like(line, {status: 502, reason: 'grace_time_over'});
});

test('an answer in transit to a slow caller is not cut off', async t => {
  // A caller on a weak link reads slowly. If the answer counted as sent once
  // the endpoint had sent it all, an instance with nothing else in progress
  // would close the connection in the middle of it.
  const whole = Buffer.alloc(24 * 1024 * 1024, 'x');
  const endpoint = new TestEndpoint((response, id) => {
    response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
    response.end(whole);
  });
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const slow = net.connect(callers, '127.0.0.1');
  t.teardown(() => slow.destroy());
  let receivedBytes = 0;
  slow.on('data', data => (receivedBytes += data.length));
  slow.write(requestBytes('slow'));
  await once(slow, 'data');
  slow.pause();
  const stopped = gateway.stop();
  await pause(LATE_IN_A_STOP_MS);
  slow.resume();
  await Promise.all([stopped, once(slow, 'close')]);
  t.true(receivedBytes > whole.length, String(receivedBytes));
});

test('a second signal does not cut off requests in progress', async t => {
  // An instance that stops slowly is signalled again. If the second stop
  // resolved at once, the process would end in the middle of its last answers.
  let hasAnswered = false;
  const endpoint = new TestEndpoint((response, id) => {
    setTimeout(() => {
      hasAnswered = true;
      response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
      response.end('done');
    }, 2800);
  });
  const {gateway, callers} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const last = get(callers, undefined, headersOf('last'));
  await waitUntil(() => endpoint.begun.length > 0);
  const first = gateway.stop();
  await gateway.stop();
  t.true(hasAnswered);
  t.is((await last).statusCode, 200);
  await first;
});

test('an unexpected error ends the process only after final answers', async t => {
  // Guards against requests that end with a closed connection, which promises
  // nothing, as the process ends by itself.
  const endpoint = answersAfter(5000);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const answering = get(callers, undefined, headersOf('held'));
  await waitUntil(() => endpoint.begun.length > 0);
  await gateway.endAfter(new TypeError('unexpected'));
  t.is((await answering).statusCode, 502);
  await t.throwsAsync(get(callers), {code: 'ECONNREFUSED'});
  const failed = lines.find(line => line.includes('process_failed'))!;
  t.like(JSON.parse(failed), {inProgress: 1});
});

test('a task in the background that fails ends no request', async t => {
  // Guards against a process that ends for a probe, a report or a write that
  // nothing waits for.
  const endpoint = answersAfter(100);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const answering = get(callers, undefined, headersOf('held'));
  await waitUntil(() => endpoint.begun.length > 0);
  gateway.noteTaskFailure(new TypeError('unexpected'));
  t.is((await answering).statusCode, 200);
  t.true(lines.some(line => line.includes('task_failed')));
});

test('the log shows which side has closed a connection without an answer', async t => {
  // Guards against losses that can't be told from callers that leave.
  const endpoint = new TestEndpoint((response, id) => {
    response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
    response.write('id: 1\ndata: a\n\n');
  });
  const {gateway, callers, lines} = await startWithEndpoint(endpoint, {
    kind: 'stream',
  });
  t.teardown(() => endpoint.close());
  t.teardown(() => gateway.stop());
  const leaving = net.connect(callers, '127.0.0.1');
  leaving.write(requestBytes('leaves'));
  await waitUntil(() => endpoint.begun.length === 1);
  leaving.destroy();
  const reset = net.connect(callers, '127.0.0.1');
  reset.write(requestBytes('resets'));
  await waitUntil(() => endpoint.begun.length === 2);
  reset.resetAndDestroy();
  const cut = net.connect(callers, '127.0.0.1');
  cut.write(requestBytes('is cut'));
  await once(cut, 'data');
  await gateway.endAfter(new TypeError('unexpected'));
  await waitUntil(() => lines.some(line => line.includes('"is cut"')));
  const ends = lines
    .map(text => JSON.parse(text))
    .filter(({event}) => event === 'request')
    .map(({requestId, closedBy}) => [requestId, closedBy]);
  t.deepEqual(ends, [
    ['leaves', 'caller'],
    ['resets', 'caller'],
    ['is cut', 'instance'],
  ]);
});

test('a request that is still being read at the end of the grace time is refused', async t => {
  // Guards against connections that close without an answer at the end of a stop,
  // as their requests have reached no endpoint yet.
  const endpoint = new TestEndpoint(() => undefined);
  const {gateway, callers, lines} = await startWithEndpoint(endpoint);
  t.teardown(() => endpoint.close());
  const slow = net.connect(callers, '127.0.0.1');
  let answer = '';
  slow.on('data', data => (answer += data.toString()));
  const head = requestBytes('slow').replace('GET', 'POST').trimEnd();
  slow.write(`${head}\r\nContent-Length: 100\r\n\r\nhalf of it`);
  await once(slow, 'ready');
  await pause(100);
  await Promise.all([gateway.stop(), once(slow, 'close')]);
  t.regex(answer, /^HTTP\/1.1 503 /);
  await waitUntil(() => lines.some(each => each.includes('"request"')));
  const line = lines
    .map(text => JSON.parse(text))
    .find(({event}) => event === 'request');
  t.like(line, {status: 503, reason: 'grace_time_over'});
  t.deepEqual(endpoint.begun, []);
});
