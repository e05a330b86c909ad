import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {Route} from '@snipestage/routing/route.js';
import {
  brandAs,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {startCluster} from './test_support/test_cluster.js';
import {get, SLOW_ROUTE} from './test_support/test_gateway.js';
import {
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const FRAMINGS = ['close', 'chunks', 'length'] as const;
type Framing = (typeof FRAMINGS)[number];

const STREAM: Partial<Route> = {kind: 'stream'};
const RESUMABLE: Partial<Route> = {
  kind: 'stream',
  isResumable: true,
  maxAttempts: 2,
};
const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const SECOND_EVENT = 'id: 2\ndata: b\n\n';
/** Beginnings of an event. */
const PIECES = {
  'half a line': 'id: 2\nda',
  'no blank line': 'id: 2\ndata: b\n',
};

const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

/** A signed answer whose end is marked in one of three ways. */
function answerText(id: string, framing: Framing, body: string): string {
  if (framing === 'chunks') return streamHead(id) + chunk(body) + chunk('');
  const headers = ['HTTP/1.1 200 OK', `X-Request-Id: ${id}`, 'X-Signature: p'];
  if (framing === 'length') headers.push(`Content-Length: ${body.length}`);
  return `${headers.join('\r\n')}\r\n\r\n${body}`;
}

/** Answers with a body and closes the connection without a reset. */
const answerWith =
  (framing: Framing, body: string): Script =>
  (socket, request) =>
    socket.end(answerText(idOf(request), framing, body));

/** Streams what begins a stream, or else what resumes it. */
const streamInTwoParts =
  (first: Script, second: Script): Script =>
  (socket, request) =>
    (/last-event-id/i.test(request) ? second : first)(socket, request);

async function start(
  t: ExecutionContext,
  route: Partial<Route>,
  scripts: readonly Script[],
): Promise<TestProxy> {
  const proxy = await TestProxy.start(route, scripts);
  t.teardown(() => proxy.close());
  return proxy;
}

for (const framing of FRAMINGS) {
  for (const [name, piece] of Object.entries(PIECES)) {
    test(`a stream that ends inside an event does not look complete (${framing}, ${name})`, async t => {
      // Guards against a crashed endpoint's answer that its caller takes for
      // complete.
      const proxy = await start(t, STREAM, [
        answerWith(framing, FIRST_EVENT + piece),
      ]);
      const answer = await proxy.call('one', {body: 'prompt'});
      t.like(answer, {status: 200, body: FIRST_EVENT, isComplete: false});
    });
  }

  test(`a resumable stream that ends inside an event goes on elsewhere (${framing})`, async t => {
    // Guards against streams that end early although another endpoint could
    // resume them.
    const engine = streamInTwoParts(
      answerWith(framing, `${FIRST_EVENT}id: 2\ndata: b\n`),
      answerWith(framing, SECOND_EVENT),
    );
    const proxy = await start(t, RESUMABLE, [engine, engine]);
    const answer = await proxy.call('one', {body: 'prompt'});
    t.like(answer, {body: FIRST_EVENT + SECOND_EVENT, isComplete: true});
  });
}

test('a stream that ends inside an event counts as broken', async t => {
  // Guards against crashes that are not held against their endpoint.
  const proxy = await start(t, STREAM, [answerWith('close', 'id: 1\nda')]);
  t.is((await proxy.call('one', {body: 'prompt'})).status, 502);
  const [{id}] = proxy.state.directory.readAll();
  const nowMs = performance.now();
  t.true(proxy.state.monitor.failureShare(id, nowMs) > 0);
  t.true(proxy.state.suspects.mayHaveCrashed(id, nowMs));
  const line = proxy.log.lines.find(each => each.includes('attempt_failed'));
  t.regex(line ?? '', /"reason":"broken"/);
  t.regex(line ?? '', /"framing":"close","end":"inside_event"/);
});

test('a stream that closes before its first event is not an answer', async t => {
  // Guards against an empty success where an endpoint ended too early.
  const proxy = await start(t, STREAM, [answerWith('close', '')]);
  t.is((await proxy.call('one', {body: 'prompt'})).status, 502);
});

test('a stream that closes before its first event begins elsewhere', async t => {
  // Guards against giving up before another endpoint was tried.
  const attempted = new Set<string>();
  const emptyAtFirst: Script = (socket, request) => {
    const isFirst = !attempted.has(idOf(request));
    attempted.add(idOf(request));
    const body = isFirst ? ': starting\n\n' : FIRST_EVENT;
    socket.end(answerText(idOf(request), 'close', body));
  };
  const proxy = await start(t, RESUMABLE, [emptyAtFirst, emptyAtFirst]);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.like(answer, {status: 200, body: FIRST_EVENT, isComplete: true});
});

test('a stream that closes between events is complete while its endpoint is up', async t => {
  const proxy = await start(t, STREAM, [
    answerWith('close', FIRST_EVENT + SECOND_EVENT),
  ]);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.like(answer, {body: FIRST_EVENT + SECOND_EVENT, isComplete: true});
});

test('a stream that closes between events is incomplete when its endpoint is gone', async t => {
  // Guards against a crash between two events: the close alone doesn't differ
  // from that of a complete stream.
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  const script: Script = (socket, request) => {
    proxy.stopListening('endpoint-0');
    socket.end(answerText(idOf(request), 'close', FIRST_EVENT));
  };
  await proxy.begin(STREAM, [script]);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.like(answer, {status: 200, body: FIRST_EVENT, isComplete: false});
});

test('an answer without a length is incomplete when its endpoint is gone', async t => {
  // Guards against half a confirmation that is taken for all of it.
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  const script: Script = (socket, request) => {
    proxy.stopListening('endpoint-0');
    socket.end(answerText(idOf(request), 'close', 'half of it'));
  };
  await proxy.begin({}, [script]);
  t.is((await proxy.call('one', {body: 'order'})).status, 502);
});

test('a stream is incomplete when its address has a new owner', async t => {
  // Guards against a crash whose close is read late: the connection had gone
  // silent, and another endpoint has started at the address meanwhile.
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  const script: Script = (socket, request) => {
    const [listed] = proxy.state.directory.readAll();
    const endpoint = {
      ...listed,
      id: brandAs<EndpointId>('next'),
      bornEpochMs: 2,
    };
    proxy.state.directory.apply([{kind: 'listed', endpoint}], 0);
    socket.end(answerText(idOf(request), 'close', FIRST_EVENT));
  };
  await proxy.begin(STREAM, [script]);
  const answer = await proxy.call('one', {body: 'prompt'});
  t.like(answer, {status: 200, body: FIRST_EVENT, isComplete: false});
});

/** More than the system takes of a body that isn't read. */
const LARGE_BODY = 'x'.repeat(16_777_216);
const RESET_AFTER_MS = 20;

/** Answers before the body has come, closes its side, then resets. */
async function startHastyEndpoint(
  t: ExecutionContext,
  framing: Framing,
  body: string,
): Promise<string> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', data => {
      socket.pause();
      socket.end(answerText(idOf(data.toString('latin1')), framing, body));
      setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const [name, route, body] of [
  ['an answer', {}, 'half of it'],
  ['a stream', STREAM, FIRST_EVENT],
] as const) {
  test(`${name} that ends before its request has been sent is incomplete`, async t => {
    // Guards against half an answer whose connection is reset after its end.
    const proxy = new TestProxy();
    t.teardown(() => proxy.close());
    proxy.maxBodyBytes = LARGE_BODY.length;
    await proxy.begin(route, []);
    proxy.list('hasty', await startHastyEndpoint(t, 'close', body));
    const answer = await proxy.call('one', {body: LARGE_BODY});
    t.false(answer.status === 200 && answer.isComplete);
    const line = proxy.log.lines.find(each => each.includes('attempt_failed'));
    // Where the machine is busy, the reset is read together with the end.
    t.regex(line ?? '', /"end":"(before_request|reset)"/);
  });
}

test('an early answer with a length is passed on', async t => {
  // Guards against dropping answers of endpoints that needn't read the body.
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  proxy.maxBodyBytes = LARGE_BODY.length;
  await proxy.begin({}, []);
  proxy.list('hasty', await startHastyEndpoint(t, 'length', 'whole'));
  const answer = await proxy.call('one', {body: LARGE_BODY});
  t.like(answer, {status: 200, body: 'whole', isComplete: true});
});

/** Services whose endpoints state their id, by that path. */
const HEALTH_PATH = '/health';
const isHealthCheck = (request: string): boolean =>
  request.startsWith(`GET ${HEALTH_PATH} `);

/** Answers health checks with an id and a start, other requests by a script. */
const withIdentity =
  (id: string, born: number, script: Script): Script =>
  (socket, request) => {
    if (!isHealthCheck(request)) return script(socket, request);
    const identity = `X-Endpoint: ${id}\r\nX-Born: ${born}`;
    const head = `HTTP/1.1 200 OK\r\n${identity}\r\nContent-Length: 0`;
    socket.end(`${head}\r\n\r\n`);
  };

for (const [name, id, born] of [
  ['another endpoint', 'endpoint-1', 2],
  ['a later start of it', 'endpoint-0', 2],
] as const) {
  test(`an answer is incomplete when ${name} has the address and isn't listed yet`, async t => {
    // Guards against half of an answer that is passed on as whole: its endpoint
    // crashed, and what accepts connections at its address isn't that endpoint.
    const proxy = new TestProxy();
    t.teardown(() => proxy.close());
    const next = withIdentity(id, born, socket => socket.end());
    const script: Script = (socket, request) => {
      void proxy
        .replaceAtAddress('endpoint-0', next)
        .then(() => socket.end(answerText(idOf(request), 'close', 'half')));
    };
    await proxy.begin({}, [script]);
    proxy.configure({}, {healthPath: HEALTH_PATH});
    t.is((await proxy.call('one', {body: 'order'})).status, 502);
  });
}

for (const [name, service, bornEpochMs, healthPath] of [
  ['without a start', 'repair', undefined, undefined],
  ['with a later start', 'other', 2, HEALTH_PATH],
] as const) {
  test(`a stream is complete beside an entry ${name} at its endpoint's address`, async t => {
    // Guards against whole streams of a sound endpoint that are broken off for
    // an entry of another writer.
    const proxy = new TestProxy();
    t.teardown(() => proxy.close());
    const script = withIdentity('endpoint-0', 1, (socket, request) => {
      const [listed] = proxy.state.directory.readAll();
      const endpoint = {
        ...listed,
        id: brandAs<EndpointId>('foreign'),
        service: brandAs<ServiceId>(service),
        bornEpochMs,
      };
      proxy.state.directory.apply([{kind: 'listed', endpoint}], 0);
      socket.end(answerText(idOf(request), 'close', FIRST_EVENT));
    });
    await proxy.begin(STREAM, [script]);
    if (healthPath !== undefined) proxy.configure(STREAM, {healthPath});
    const answer = await proxy.call('one', {body: 'prompt'});
    t.like(answer, {status: 200, body: FIRST_EVENT, isComplete: true});
  });
}

test('an answer is complete while its endpoint states its own id', async t => {
  const script: Script = (socket, request) =>
    socket.end(answerText(idOf(request), 'close', 'whole'));
  const proxy = await start(t, {}, [withIdentity('endpoint-0', 1, script)]);
  proxy.configure({}, {healthPath: HEALTH_PATH});
  const answer = await proxy.call('one', {body: 'order'});
  t.like(answer, {status: 200, body: 'whole', isComplete: true});
});

test('answers that end together share one look at their endpoint', async t => {
  // Guards against a connection of its own for each answer without a length.
  const waiting: Array<() => void> = [];
  const together: Script = (socket, request) => {
    const text = answerText(idOf(request), 'close', FIRST_EVENT);
    waiting.push(() => socket.end(text));
    if (waiting.length === 8) for (const end of waiting) end();
  };
  const proxy = await start(t, STREAM, [together]);
  const ids = Array.from({length: 8}, (_, index) => `request-${index}`);
  const answers = await Promise.all(
    ids.map(id => proxy.call(id, {body: 'prompt'})),
  );
  t.true(answers.every(({isComplete}) => isComplete));
  t.true(proxy.opened <= ids.length + 3);
});

test('a rejection without a length costs no look at its endpoint', async t => {
  // Guards against more connections to endpoints that are full already.
  const full: Script = socket =>
    socket.end('HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n');
  const proxy = await start(t, {}, [full]);
  t.is((await proxy.call('one', {body: 'order'})).status, 503);
  await new Promise(done => setTimeout(done, 50));
  t.is(proxy.opened, 1);
});

for (const framing of ['chunks', 'close'] as const) {
  test(`a resumed stream without new events is complete only by its framing (${framing})`, async t => {
    // Guards against guessing that nothing was left of a stream.
    const engine = streamInTwoParts(
      (socket, request) => {
        socket.write(streamHead(idOf(request)));
        socket.write(chunk(FIRST_EVENT), () => socket.resetAndDestroy());
      },
      answerWith(framing, ''),
    );
    const proxy = await start(t, RESUMABLE, [engine, engine]);
    const answer = await proxy.call('one', {body: 'prompt'});
    t.like(answer, {body: FIRST_EVENT, isComplete: framing === 'chunks'});
  });
}

test('a JSON answer without a length that ends early is not passed on', async t => {
  // Guards against half a document from an endpoint that is back at once.
  const script: Script = (socket, request) => {
    const head = answerText(idOf(request), 'close', '').trimEnd();
    const type = 'Content-Type: application/json';
    socket.end(`${head}\r\n${type}\r\n\r\n{"booked":`);
  };
  const proxy = await start(t, {}, [script]);
  t.is((await proxy.call('one', {body: 'order'})).status, 502);
});

test('a broken stream is reset for a caller that knows no chunks', async t => {
  // Guards against HTTP/1.0 callers, to whom a close is a proper end.
  const proxy = await start(t, STREAM, [
    answerWith('close', `${FIRST_EVENT}id: 2\nda`),
  ]);
  const socket = net.connect(proxy.callersPort, '127.0.0.1');
  socket.write('POST /r/x HTTP/1.0\r\nHost: test\r\nX-Request-Id: one\r\n\r\n');
  const error = await new Promise<NodeJS.ErrnoException | undefined>(done => {
    socket.on('error', done);
    socket.on('close', () => done(undefined));
    socket.resume();
  });
  t.is(error?.code, 'ECONNRESET');
});

test('a stream through another instance that ends inside an event does not look complete', async t => {
  // Guards against a rule that holds for direct connections only.
  const cluster = await startCluster({
    instances: 2,
    endpoints: 3,
    route: {...SLOW_ROUTE, host: '127.0.0.1', kind: 'stream'},
    answer: (response, id) => {
      const body = `${FIRST_EVENT}id: 2\nda`;
      response.socket?.end(answerText(id, 'close', body));
    },
  });
  t.teardown(() => cluster.stop());
  await cluster.cut(0, 'refuse');
  const [{callers}] = cluster.members;
  const headers = {Host: '127.0.0.1', 'X-Request-Id': 'one'};
  await t.throwsAsync(get(callers, undefined, headers));
});

test('an answer that a forwarder passes on before its request is incomplete', async t => {
  // Guards against half an answer whose end and reset take two connections.
  const cluster = await startCluster({
    instances: 2,
    endpoints: 1,
    route: {...SLOW_ROUTE, host: '127.0.0.1'},
    limits: {maxBodyBytes: LARGE_BODY.length},
    answer: ({socket}, id) => {
      socket?.end(answerText(id, 'close', 'half of it'));
      setTimeout(() => socket?.resetAndDestroy(), RESET_AFTER_MS);
    },
  });
  t.teardown(() => cluster.stop());
  await cluster.cut(0, 'refuse');
  const [{callers}] = cluster.members;
  const headers = {Host: '127.0.0.1', 'X-Request-Id': 'one'};
  const url = `http://127.0.0.1:${callers}/x`;
  const answer = await fetch(url, {method: 'POST', headers, body: LARGE_BODY});
  t.is(answer.status, 502);
});
