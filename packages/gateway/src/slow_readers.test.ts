import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import ava, {type ExecutionContext} from 'ava';
import {HeldBytes} from '@snipestage/routing/held_bytes.js';
import type {Route} from '@snipestage/routing/route.js';
import {
  answerBytes,
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

/** One at a time: each holds more than an instance usually does. */
const test = ava.serial;
const MB = 1_000_000;
const STREAM: Partial<Route> = {kind: 'stream', timeoutMs: 20_000};
const CALLERS = 200;
const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';
const bodyOf = (request: string): string =>
  request.slice(request.indexOf('\r\n\r\n') + 4);
const sleep = (ms: number) => new Promise(done => setTimeout(done, ms));

/** Time after which an endpoint in these tests cuts off an unread answer. */
const UNREAD_ANSWER_TIMEOUT_MS = 700;

/** Streams a number of events, and aborts an answer that isn't read. */
const streamOf =
  (
    events: number,
    eventBytes = 1000,
    unreadTimeoutMs = UNREAD_ANSWER_TIMEOUT_MS,
  ): Script =>
  (socket, request) => {
    const padding = 'x'.repeat(eventBytes);
    socket.write(streamHead(idOf(request)));
    void (async () => {
      for (let index = 1; index <= events; index += 1) {
        const event = `id: ${index}\ndata: ${padding}\n\n`;
        if (socket.write(chunk(event))) continue;
        const drained = await Promise.race([
          once(socket, 'drain').catch(() => undefined),
          sleep(unreadTimeoutMs),
        ]);
        if (drained === undefined) return socket.resetAndDestroy();
      }
      return socket.end(chunk(''));
    })();
  };

/** A caller whose connection is read by the test alone. */
class RawCaller {
  readonly socket: Socket;
  text = '';
  error: NodeJS.ErrnoException | undefined;
  isClosed = false;

  constructor(t: ExecutionContext, port: number, from = '127.0.0.1') {
    this.socket = net.connect({port, host: '127.0.0.1', localAddress: from});
    this.socket.on('error', error => (this.error = error));
    this.socket.on('close', () => (this.isClosed = true));
    t.teardown(() => this.socket.destroy());
  }

  send(id: string, body = 'prompt'): void {
    this.socket.write(
      `POST /r/x HTTP/1.1\r\nHost: test\r\nX-Request-Id: ${id}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  }

  /** Reads all that comes until the connection is closed or an answer ends. */
  async readAll(isEnd: (text: string) => boolean): Promise<string> {
    this.socket.on('data', data => (this.text += data.toString('latin1')));
    // A socket that was paused isn't resumed by a listener.
    this.socket.resume();
    await waitUntil(() => this.isClosed || isEnd(this.text));
    return this.text;
  }
}

const isEndOfChunks = (text: string): boolean => text.endsWith('\r\n0\r\n\r\n');
const hasAborted = ({log}: TestProxy): boolean =>
  log.lines.some(line => line.includes('memory_bound_reached'));

/** Fails the test that waits, instead of all that follow it. */
async function waitUntil(isTrue: () => boolean): Promise<void> {
  const endMs = performance.now() + 10_000;
  while (!isTrue()) {
    if (performance.now() > endMs) throw new Error('waited for 10 s in vain');
    await sleep(10);
  }
}
const countEvents = (text: string): number =>
  text.match(/(?:^|\n)id: /g)?.length ?? 0;

interface Started {
  readonly proxy: TestProxy;
  readonly held: HeldBytes;
  /** Highest total seen so far. */
  readonly peak: () => number;
}

async function start(
  t: ExecutionContext,
  route: Partial<Route>,
  script: Script,
  maxBytes: number,
): Promise<Started> {
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  const held = new HeldBytes({maxBytes});
  proxy.memory = held;
  proxy.maxBodyBytes = 4 * MB;
  await proxy.begin(route, [script]);
  let peakBytes = 0;
  const timer = setInterval(
    () => (peakBytes = Math.max(peakBytes, held.totalBytes)),
    5,
  );
  t.teardown(() => clearInterval(timer));
  return {proxy, held, peak: () => peakBytes};
}

const byPath =
  (slow: Script): Script =>
  (socket, request) =>
    idOf(request).startsWith('slow')
      ? slow(socket, request)
      : streamOf(3)(socket, request);

/** A caller of another address that reads only where the test does. */
function slowCaller(
  t: ExecutionContext,
  {callersPort}: TestProxy,
  id: string,
): RawCaller {
  const caller = new RawCaller(t, callersPort, '127.0.0.2');
  // Without a listener for its data, the socket takes one buffer and stops.
  caller.socket.on('readable', () => undefined);
  caller.send(id);
  return caller;
}

/** Calls as a caller that reads at once; each has to get its whole answer. */
async function callNormally(
  t: ExecutionContext,
  proxy: TestProxy,
  times: number,
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    const answer = await proxy.call(`quick-${index}`, {body: 'prompt'});
    t.like(answer, {status: 200, isComplete: true});
    t.is(countEvents(answer.body), 3);
  }
}

test('a stream whose caller pauses is not cut off by its endpoint', async t => {
  // Guards against streams that end broken as the endpoint was paused together
  // with the caller, and gave up an answer that was not read.
  const {proxy, held} = await start(t, STREAM, streamOf(900), 20 * MB);
  const caller = new RawCaller(t, proxy.callersPort);
  caller.socket.pause();
  caller.send('one');
  await sleep(UNREAD_ANSWER_TIMEOUT_MS + 500);
  const text = await caller.readAll(isEndOfChunks);
  t.is(countEvents(text), 900);
  t.true(isEndOfChunks(text));
  await sleep(50);
  t.is(held.totalBytes, 0);
});

test('a caller that reads nothing holds no more than its bound', async t => {
  // Guards against one caller that fills the memory of the instance.
  const {proxy, held, peak} = await start(
    t,
    STREAM,
    byPath(streamOf(2000, 16_000)),
    20 * MB,
  );
  const caller = new RawCaller(t, proxy.callersPort);
  caller.socket.pause();
  caller.send('slow-1');
  await waitUntil(() => held.totalBytes >= MB);
  await sleep(100);
  // One read of the endpoint's connection goes beyond the bound.
  t.true(held.totalBytes < 1.2 * MB);
  await callNormally(t, proxy, 5);
  t.true(peak() < 1.3 * MB);
});

test('an endpoint that is paused for a slow caller does not count as silent', async t => {
  // Guards against sound endpoints that are avoided, and streams that run a
  // second time, since a caller doesn't read.
  const patient = streamOf(2000, 16_000, 10_000);
  const route = {...STREAM, isResumable: true, maxAttempts: 3};
  const {proxy, held} = await start(t, route, patient, 40 * MB);
  await proxy.addEndpoint('endpoint-other', patient);
  proxy.configure({...route, pauseTargetMs: 100});
  const caller = new RawCaller(t, proxy.callersPort);
  caller.socket.pause();
  caller.send('one');
  await waitUntil(() => held.totalBytes >= MB);
  // Longer than the limit on silence between two events.
  await sleep(1700);
  t.is(proxy.received.length, 1);
  t.false(proxy.log.lines.some(line => line.includes('attempt_failed')));
});

for (const [name, read] of [
  ['read nothing', () => undefined],
  ['read some bytes a second', (socket: Socket) => socket.read(1)],
  ['read in bursts', (socket: Socket) => socket.read()],
] as const) {
  test(`${CALLERS} callers that ${name} stay within the bound of the instance`, async t => {
    // Guards against memory that grows with the number of slow callers, and
    // against other callers that lose their answers for it.
    const limitBytes = 10 * MB;
    const slow = byPath(streamOf(400, 16_000));
    const {proxy, peak} = await start(t, STREAM, slow, limitBytes);
    for (let index = 0; index < CALLERS; index += 1) {
      const {socket} = slowCaller(t, proxy, `slow-${index}`);
      const timer = setInterval(() => read(socket), 300);
      t.teardown(() => clearInterval(timer));
    }
    await callNormally(t, proxy, 10);
    if (name === 'read nothing') {
      await waitUntil(() => hasAborted(proxy));
      const text = await proxy.metrics.render();
      t.regex(text, /memory_aborts_total\{reason="stream"\} [1-9]/);
    }
    await callNormally(t, proxy, 10);
    t.true(peak() > 0 && peak() <= limitBytes);
  });
}

test('an aborted stream never looks complete', async t => {
  // Guards against a caller that takes a part of a stream for all of it.
  const {proxy} = await start(t, STREAM, streamOf(562, 16_000), 2 * MB);
  const callers = Array.from({length: 8}, (_, index) => {
    const caller = new RawCaller(t, proxy.callersPort);
    caller.socket.pause();
    caller.send(`slow-${index}`);
    return caller;
  });
  await waitUntil(() => hasAborted(proxy));
  const texts = await Promise.all(
    callers.map(caller => caller.readAll(isEndOfChunks)),
  );
  const complete = texts.filter(isEndOfChunks);
  t.true(complete.length < texts.length);
  t.true(complete.every(text => countEvents(text) === 562));
});

test('a whole answer is delivered to a caller that reads late', async t => {
  // Guards against an answer that was computed and then thrown away.
  // More than the system's buffers take.
  const body = 'x'.repeat(16 * MB);
  const script: Script = (socket, request) =>
    socket.end(answerBytes(idOf(request), {body}));
  const {proxy, held} = await start(t, {timeoutMs: 2000}, script, 20 * MB);
  const caller = new RawCaller(t, proxy.callersPort);
  caller.socket.pause();
  caller.send('one');
  // Beyond the time limit of the route.
  await sleep(2200);
  t.is(held.totalBytes, 16 * MB);
  const text = await caller.readAll(each => each.length > 16 * MB);
  t.is(bodyOf(text).length, body.length);
  await waitUntil(() => held.totalBytes === 0);
});

test('a whole answer beyond the bound is a failure, not a part of it', async t => {
  // Guards against memory that a single endpoint can fill.
  const script: Script = (socket, request) =>
    socket.end(answerBytes(idOf(request), {body: 'x'.repeat(3 * MB)}));
  const {proxy, held} = await start(t, {}, script, 2 * MB);
  const answer = await proxy.call('one', {body: 'order'});
  t.like(answer, {status: 502, body: ''});
  t.is(held.totalBytes, 0);
});

test('a body without room is refused before it is read', async t => {
  // Guards against 60 bodies of 4 MB that fill an instance of 250 MB.
  const waiting: Array<() => void> = [];
  const script: Script = (socket, request) =>
    void waiting.push(() => socket.end(answerBytes(idOf(request))));
  const {proxy, held} = await start(t, {}, script, 4 * MB);
  const first = proxy.call('first', {body: 'x'.repeat(1.5 * MB)});
  await waitUntil(() => waiting.length > 0);
  t.is(held.totalBytes, 1.5 * MB);
  const refused = await proxy.call('second', {body: 'x'.repeat(MB)});
  t.is(refused.status, 503);
  t.truthy(refused.headers['retry-after']);
  t.is(proxy.received.length, 1);
  waiting[0]();
  t.is((await first).status, 200);
  t.is(held.totalBytes, 0);
});

test('a body in chunks is refused once it has no room', async t => {
  // Guards against bodies that state no length and so reserve nothing.
  const script: Script = (socket, request) =>
    socket.end(answerBytes(idOf(request)));
  const {proxy, held} = await start(t, {}, script, MB);
  const answer = await proxy.call('one', {
    body: 'x'.repeat(2 * MB),
    headers: {'Transfer-Encoding': 'chunked'},
  });
  t.is(answer.status, 503);
  t.is(proxy.received.length, 0);
  t.is(held.totalBytes, 0);
});

test('callers that send slowly leave room for the bodies of others', async t => {
  // Guards against stated lengths that reserve all the room without a byte sent.
  const script: Script = (socket, request) =>
    socket.end(answerBytes(idOf(request)));
  const {proxy, held} = await start(t, {}, script, 4 * MB);
  for (let index = 0; index < CALLERS; index += 1) {
    const {socket} = new RawCaller(t, proxy.callersPort, '127.0.0.2');
    socket.write(
      `POST /r/x HTTP/1.1\r\nHost: test\r\nX-Request-Id: slow-${index}\r\n` +
        `Content-Length: ${MB}\r\n\r\nx`,
    );
  }
  await waitUntil(() => held.totalBytes >= 2 * MB);
  const answers = await Promise.all(
    [1, 2, 3].map(index =>
      proxy.call(`quick-${index}`, {body: 'x'.repeat(MB / 2)}),
    ),
  );
  t.deepEqual(
    answers.map(({status}) => status),
    [200, 200, 200],
  );
  t.true(held.totalBytes <= held.limitBytes);
});

for (const [kind, attempts] of [
  ['non_idempotent', 1],
  ['idempotent', 2],
] as const) {
  test(`an endpoint that does not read a body is given up in time (${kind})`, async t => {
    // Guards against requests that wait for such an endpoint until their time is
    // over, and against a second run of one that must not be repeated.
    let accepted = 0;
    const server = net.createServer({pauseOnConnect: true}, socket => {
      accepted += 1;
      socket.on('error', () => undefined);
      t.teardown(() => socket.destroy());
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.teardown(() => server.close());
    const {port} = server.address() as AddressInfo;
    const proxy = new TestProxy();
    t.teardown(() => proxy.close());
    proxy.memory = new HeldBytes({maxBytes: 60 * MB});
    proxy.maxBodyBytes = 20 * MB;
    proxy.unreadBodyTimeoutMs = 300;
    const slow = {
      kind,
      maxAttempts: 3,
      timeoutMs: 4000,
      latencyTargetMs: 4000,
    };
    await proxy.begin(slow, []);
    proxy.list('unread-0', `127.0.0.1:${port}`);
    proxy.list('unread-1', `127.0.0.1:${port}`);
    const beganAtMs = performance.now();
    const answer = await proxy.call('one', {body: 'x'.repeat(16 * MB)});
    t.is(answer.status, 502);
    t.is(accepted, attempts);
    t.true(performance.now() - beganAtMs < 3000);
    const line = proxy.log.lines.find(each => each.includes('attempt_failed'));
    t.regex(line ?? '', /"reason":"unread","verdict":"may_have_run"/);
    t.is(proxy.memory.totalBytes, 0);
  });
}

test('bodies that an endpoint does not read leave room for other requests', async t => {
  // Guards against an endpoint whose unread bodies fill the memory, and against
  // other callers that are refused for it.
  const limitBytes = 10 * MB;
  const server = net.createServer(socket => {
    let text = '';
    socket.on('error', () => undefined);
    t.teardown(() => socket.destroy());
    socket.on('data', data => {
      text += data.toString('latin1');
      if (idOf(text).startsWith('slow')) socket.pause();
      else if (text.endsWith('END')) socket.end(answerBytes(idOf(text)));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const started = await start(
    t,
    {timeoutMs: 3000},
    () => undefined,
    limitBytes,
  );
  const {proxy, held, peak} = started;
  proxy.crash('endpoint-0');
  proxy.list(
    'endpoint-0',
    `127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  const callers = Array.from({length: 60}, (_, index) => {
    const caller = new RawCaller(t, proxy.callersPort, '127.0.0.2');
    caller.send(`slow-${index}`, 'x'.repeat(MB));
    return caller.readAll(text => text.includes('\r\n\r\n'));
  });
  await waitUntil(() => held.totalBytes >= 5 * MB);
  for (let index = 0; index < 10; index += 1) {
    const body = `${'x'.repeat(MB / 2)}END`;
    t.is((await proxy.call(`quick-${index}`, {body})).status, 200);
  }
  const statuses = (await Promise.all(callers)).map(text => text.slice(9, 12));
  t.true(statuses.includes('503'));
  t.true(statuses.every(each => ['502', '503', '504'].includes(each)));
  t.true(peak() <= limitBytes);
  t.is(held.totalBytes, 0);
});

test('an endpoint that reads a body slowly is not given up', async t => {
  // Guards against a limit on the whole time instead of on standstill.
  const server = net.createServer(socket => {
    let size = 0;
    let head = '';
    socket.on('error', () => undefined);
    socket.on('data', data => {
      head ||= data.toString('latin1');
      size += data.length;
      if (size >= 16 * MB) socket.end(answerBytes(idOf(head)));
      if (size % 7 !== 0) return;
      socket.pause();
      setTimeout(() => socket.resume(), 20);
    });
    t.teardown(() => socket.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  proxy.maxBodyBytes = 20 * MB;
  proxy.unreadBodyTimeoutMs = 1000;
  await proxy.begin({timeoutMs: 20_000, latencyTargetMs: 20_000}, []);
  const {port} = server.address() as AddressInfo;
  proxy.list('slow-0', `127.0.0.1:${port}`);
  const answer = await proxy.call('one', {body: 'x'.repeat(16 * MB)});
  t.is(answer.status, 200);
});

test('without a bound on memory, an endpoint is paused together with its caller', async t => {
  // Guards against a change for deployments whose settings name no memory.
  const proxy = await TestProxy.start(STREAM, [streamOf(2000, 16_000)]);
  t.teardown(() => proxy.close());
  const caller = new RawCaller(t, proxy.callersPort);
  caller.socket.pause();
  caller.send('one');
  await sleep(UNREAD_ANSWER_TIMEOUT_MS + 500);
  const text = await caller.readAll(isEndOfChunks);
  t.false(isEndOfChunks(text));
});
