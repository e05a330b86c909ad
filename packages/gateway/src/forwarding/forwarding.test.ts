import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
  FreshConnection,
  type FreshConnectionOptions,
} from '@snipestage/connection/fresh_connection.js';
import {ConnectTimeout} from '@snipestage/routing/connect_timeout.js';
import type {ForwarderAddress} from '@snipestage/routing/forwarder_choice.js';
import type {
  EndpointAddress,
  ServingEndpoint,
} from '@snipestage/routing/serving_endpoint.js';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type InstanceId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {DirectConnector} from '../direct_connector.js';
import {EndpointCall} from '../endpoint_call.js';
import {EndpointConnector} from '../endpoint_connector.js';
import {EndpointProbes} from '../endpoint_probes.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {RoutingState} from '../routing_state.js';
import {CapturedLog} from '../test_support/captured_log.js';
import {MemoryPlatform} from '../test_support/memory_platform.js';
import {waitUntil} from '../test_support/test_gateway.js';
import {ForwarderClient} from './forwarder_client.js';
import {Forwarding} from './forwarding.js';

const DATA_CENTRE = brandAs<DataCentreId>('akl-a');
const DOCUMENT = {kind: 'document', isPartial: false} as const;
const SIGNAL = new AbortController().signal;
/** Nothing waits for it but on a machine that is very busy. */
const TIMEOUT_MS = 20_000;
/** Beyond the resets that Node.js (20) allows on one link. */
const MANY_TUNNELS = 2000;
const PARALLEL_TUNNELS = 20;
/** About as long as a machine stands still that goes on afterwards. */
const STANDSTILL_MS = 3500;
const LARGE_BYTES = 3_000_000;
/** Sent at once by an endpoint, and more than a link takes unread. */
const SOME_BYTES = 400_000;

const nowMs = () => performance.now();

/** An endpoint that runs a script for each connection. */
async function listen(
  t: ExecutionContext,
  script: (socket: Socket) => void,
): Promise<ServingEndpoint> {
  const sockets = new Set<Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    script(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return describeEndpoint('endpoint', `127.0.0.1:${port}`);
}

function describeEndpoint(id: string, address: string): ServingEndpoint {
  return {
    id: brandAs<EndpointId>(id),
    service: brandAs<ServiceId>('s'),
    address: brandAs<EndpointAddress>(address),
    dataCentre: DATA_CENTRE,
    capacity: 4,
    isLeaving: false,
    isCheap: false,
    bornEpochMs: 7,
  };
}

/** Connections of an instance that has lost its links. */
function neverConnect({signal}: FreshConnectionOptions) {
  const reason = signal?.aborted === true ? 'aborted' : 'connect timeout';
  return Promise.resolve({kind: 'failed', reason, timedOut: true} as const);
}

interface Member {
  readonly state: RoutingState;
  readonly address: ForwarderAddress;
  readonly forwarding: Forwarding;
  readonly connector: EndpointConnector;
  isStopping: boolean;
  hasLinks: boolean;
  /** Whether direct connections get no answer at all, not even a timeout. */
  hangsDirectly: boolean;
}

/** An instance as far as it connects to endpoints. */
async function startMember(
  t: ExecutionContext,
  name: string,
  options: {
    readonly platform: MemoryPlatform;
    readonly endpoints: readonly ServingEndpoint[];
  },
): Promise<Member> {
  const state = new RoutingState({ratio: 1, windowMs: 10_000, slack: 50});
  state.directory.replace(options.endpoints, nowMs());
  const metrics = new GatewayMetrics();
  const {logger} = new CapturedLog();
  const direct = new DirectConnector({
    state,
    connectTimeout: new ConnectTimeout(),
    metrics,
    logger,
    nowMs,
    open: request => {
      if (member.hangsDirectly) return new Promise(() => undefined);
      return member.hasLinks
        ? FreshConnection.open(request)
        : neverConnect(request);
    },
  });
  const [port] = await pickFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const forwarding = new Forwarding({
    instance: brandAs<InstanceId>(name),
    dataCentre: DATA_CENTRE,
    address,
    publishWithinMs: 20,
    state,
    platform: options.platform,
    direct,
    metrics,
    logger,
    nowMs,
    isStopping: () => member.isStopping,
  });
  const connector = new EndpointConnector({
    state,
    direct,
    forwarded: forwarding,
    nowMs,
  });
  const member: Member = {
    state,
    address: brandAs<ForwarderAddress>(address),
    forwarding,
    connector,
    isStopping: false,
    hasLinks: true,
    hangsDirectly: false,
  };
  await forwarding.start();
  t.teardown(() => forwarding.stop());
  return member;
}

async function startMembers(
  t: ExecutionContext,
  count: number,
  endpoints: readonly ServingEndpoint[],
): Promise<readonly Member[]> {
  const platform = new MemoryPlatform();
  const members = await Promise.all(
    Array.from({length: count}, (_, index) =>
      startMember(t, `instance-${index}`, {platform, endpoints}),
    ),
  );
  await waitUntil(() =>
    members.every(({forwarding}) => forwarding.knownForwarders === count - 1),
  );
  return members;
}

function callThrough(
  {connector}: Member,
  endpoint: ServingEndpoint,
  body?: Buffer,
): EndpointCall {
  return new EndpointCall({
    method: body === undefined ? 'GET' : 'POST',
    path: '/',
    composeHeaders: () => [
      'Host',
      'test',
      'Content-Length',
      String(body?.length ?? 0),
    ],
    body,
    connect: signal =>
      connector.open({endpoint, timeoutMs: TIMEOUT_MS, signal, isLast: true}),
    isStillUp: () => Promise.resolve(true),
  });
}

async function readBody(response: http.IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const chunk of response) bytes += (chunk as Buffer).length;
  return bytes;
}

/** Runs an action once the head of a request has arrived. */
function onRequest(socket: Socket, act: (text: string) => void): void {
  socket.once('data', data => act(data.toString('latin1')));
}

test('large bodies pass in both directions at the pace of the reader', async t => {
  // Guards against a forwarder that buffers what a slow reader doesn't take.
  let received = 0;
  const endpoint = await listen(t, socket => {
    socket.on('data', data => {
      received += data.length;
      if (received < LARGE_BYTES) return;
      received = Number.NEGATIVE_INFINITY;
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${LARGE_BYTES}\r\n\r\n`);
      socket.end(Buffer.alloc(LARGE_BYTES));
    });
  });
  const [isolated] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const call = callThrough(isolated, endpoint, Buffer.alloc(LARGE_BYTES));
  const head = await call.head;
  if (head.kind !== 'head') return t.fail(head.message);
  t.is(call.path, 'forwarded');
  await new Promise(done => setTimeout(done, 100));
  t.is(await readBody(head.response), LARGE_BYTES);
  t.true(await call.isWhole(head.response, DOCUMENT));
});

test('an answer without a length that is reset doesn’t look complete', async t => {
  // Guards against a forwarder that ends in good order what a crash cut off.
  for (const isReset of [true, false]) {
    const endpoint = await listen(t, socket =>
      onRequest(socket, () => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart', () => {
          setTimeout(() => {
            if (isReset) socket.resetAndDestroy();
            else socket.end();
          }, 50);
        });
      }),
    );
    const [isolated] = await startMembers(t, 2, [endpoint]);
    isolated.hasLinks = false;
    const call = callThrough(isolated, endpoint);
    const head = await call.head;
    if (head.kind !== 'head') return t.fail(head.message);
    const {response} = head;
    response.resume();
    response.on('error', () => undefined);
    await once(response, 'close');
    t.is(await call.isWhole(response, DOCUMENT), !isReset);
    t.false(call.hasPathBroken);
  }
});

test('a head that ends midway is no answer through another instance either', async t => {
  // Guards against a success without a body for an endpoint that stopped inside
  // its head, behind a forwarder that ends the connection in good order.
  const head = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n';
  for (const cutAt of [0, 8, 17, 20, 36, head.length - 2, head.length - 1]) {
    const endpoint = await listen(t, socket =>
      onRequest(socket, () => socket.end(head.slice(0, cutAt))),
    );
    const [isolated] = await startMembers(t, 2, [endpoint]);
    isolated.hasLinks = false;
    const call = callThrough(isolated, endpoint);
    t.is((await call.head).kind, 'failed', String(cutAt));
    t.is(call.path, 'forwarded');
  }
});

test('a caller that leaves ends the work at the endpoint', async t => {
  // Guards against an endpoint that works on behind a forwarder for nobody.
  let hasArrived = false;
  let hasClosed = false;
  const endpoint = await listen(t, socket => {
    onRequest(socket, () => (hasArrived = true));
    socket.on('close', () => (hasClosed = true));
  });
  const [isolated] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const call = callThrough(isolated, endpoint);
  await waitUntil(() => hasArrived);
  call.cancel();
  await waitUntil(() => hasClosed);
  t.is(call.verdict, 'may_have_run');
});

test('a lost forwarder leaves it open whether a request has run', async t => {
  // Guards against repeating a request that the endpoint got, and against
  // taking the end of a forwarder for a crash of the endpoint.
  let arrivals = 0;
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => (arrivals += 1)),
  );
  const [isolated, other] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const call = callThrough(isolated, endpoint);
  await waitUntil(() => arrivals === 1);
  t.is(other.forwarding.inProgress, 1);
  other.forwarding.stop();
  const head = await call.head;
  t.is(head.kind === 'failed' ? head.reason : '', 'path_broken');
  t.is(call.verdict, 'may_have_run');
});

test('isolated instances don’t pass connections to one another', async t => {
  // Guards against loops, and against callers that wait for nothing.
  const endpoint = await listen(t, socket => socket.end());
  const members = await startMembers(t, 3, [endpoint]);
  for (const member of members) member.hasLinks = false;
  for (const member of members) {
    const head = await callThrough(member, endpoint).head;
    const isRefused = head.kind === 'failed' && head.verdict === 'not_run';
    t.true(isRefused);
  }
  const head = await callThrough(members[0], endpoint).head;
  t.is(head.kind === 'failed' ? head.reason : '', 'isolated');
});

test('a stopping instance forwards nothing new and lets the rest finish', async t => {
  let answer: (() => void) | undefined;
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => {
      answer = () =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const [isolated, other] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const running = callThrough(isolated, endpoint);
  await waitUntil(() => answer !== undefined);
  t.is(other.forwarding.inProgress, 1);
  other.isStopping = true;
  const refused = await callThrough(isolated, endpoint).head;
  t.is(refused.kind === 'failed' ? refused.verdict : '', 'not_run');
  answer?.();
  const head = await running.head;
  if (head.kind !== 'head') return t.fail(head.message);
  t.is(await readBody(head.response), 2);
  await waitUntil(() => other.forwarding.inProgress === 0);
  t.pass();
});

test('a stopping instance forwards what its endpoint has finished already', async t => {
  // Guards against answers that are cut off by a planned stop of the instance that
  // forwards them, as a slow caller hasn't read them to their end.
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => {
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${SOME_BYTES}\r\n\r\n`);
      socket.end(Buffer.alloc(SOME_BYTES));
    }),
  );
  const [isolated, other] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const call = callThrough(isolated, endpoint);
  const head = await call.head;
  if (head.kind !== 'head') return t.fail(head.message);
  other.isStopping = true;
  await new Promise(done => setTimeout(done, 500));
  t.is(other.forwarding.inProgress, 1);
  t.is(await readBody(head.response), SOME_BYTES);
  await waitUntil(() => other.forwarding.inProgress === 0);
  t.true(await call.isWhole(head.response, DOCUMENT));
});

test('an instance connects only to endpoints that it lists itself', async t => {
  // Guards against a port that lets any process reach any address, and against
  // sending to endpoints that have left.
  const endpoint = await listen(t, socket => socket.end());
  const [, other] = await startMembers(t, 2, [endpoint]);
  const client = new ForwarderClient(other.address);
  t.teardown(() => client.close());
  const request = {endpoint, timeoutMs: TIMEOUT_MS, signal: SIGNAL};
  const unknown = {
    ...describeEndpoint('unknown', endpoint.address),
    bornEpochMs: 7,
  };
  const reborn = {...endpoint, bornEpochMs: 8};
  const refusal = {kind: 'failed', reason: 'not_serving'};
  t.like(await client.open({...request, endpoint: unknown}), refusal);
  t.like(await client.open({...request, endpoint: reborn}), refusal);
  other.state.directory.noteLeaving(endpoint);
  t.like(await client.open(request), refusal);
});

test('an instance looks at a leaving endpoint through another', async t => {
  // Guards against whole answers of leaving endpoints that are cut off at
  // instances without links.
  const endpoint = await listen(t, socket => socket.end());
  const [isolated, other] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  other.state.directory.noteLeaving(endpoint);
  t.true(await new EndpointProbes(isolated).isUp(endpoint));
});

test('an instance looks through another at an endpoint that was removed', async t => {
  // Guards against whole streams that are cut off at instances without links,
  // since their endpoint finishes them after its row was removed.
  const endpoint = await listen(t, socket => socket.end());
  const [isolated, other] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  other.state.directory.apply([{kind: 'removed', id: endpoint.id}], nowMs());
  t.true(await new EndpointProbes(isolated).isUp(endpoint));
  const reborn = {...endpoint, bornEpochMs: 8};
  t.false(await new EndpointProbes(isolated).isUp(reborn));
});

test('a look goes on through the next instance when one doesn’t know the endpoint', async t => {
  // Guards against whole streams that are cut off since the first forwarder asked
  // has started after their endpoint left.
  const endpoint = await listen(t, socket => socket.end());
  const [isolated, ...others] = await startMembers(t, 5, [endpoint]);
  isolated.hasLinks = false;
  const next = {...endpoint, bornEpochMs: 8};
  for (const {state} of others.slice(1)) {
    state.directory.apply([{kind: 'listed', endpoint: next}], nowMs());
  }
  t.true(await new EndpointProbes(isolated).isUp(endpoint));
});

test('a look from an isolated instance doesn’t wait for its own links', async t => {
  // Guards against whole answers that are cut off at their deadline, since a
  // direct connection that hangs is tried before the one through another.
  const endpoint = await listen(t, socket => socket.end());
  const [isolated] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  await callThrough(isolated, endpoint).head;
  t.true(isolated.state.isolation.isIsolated);
  isolated.hangsDirectly = true;
  const connection = await isolated.connector.open({
    endpoint,
    timeoutMs: TIMEOUT_MS,
    signal: SIGNAL,
    isLast: true,
    isProbe: true,
  });
  t.like(connection, {kind: 'open', path: 'forwarded'});
});

test('instances that several endpoints refuse still use their own links', async t => {
  // Guards against refusing callers while endpoints serve: the endpoints of one
  // service are down, and instances pass requests for the others to one another.
  const up = await listen(t, socket =>
    onRequest(socket, () => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const down = ['a', 'b', 'c'].map(name =>
    describeEndpoint(name, '127.0.0.1:1'),
  );
  const members = await startMembers(t, 2, [up, ...down]);
  for (const member of members) {
    for (const endpoint of down) await callThrough(member, endpoint).head;
    t.true(member.state.isolation.isIsolated);
  }
  const call = callThrough(members[0], up);
  t.is((await call.head).kind, 'head');
  t.is(call.path, 'direct');
});

test('a look from an isolated instance learns nothing from a refusal', async t => {
  // Guards against whole answers that are cut off, since an instance whose own
  // links refuse everything takes the endpoint for gone.
  const endpoint = await listen(t, socket => socket.end());
  const down = ['a', 'b', 'c'].map(name =>
    describeEndpoint(name, '127.0.0.1:1'),
  );
  const members = await startMembers(t, 2, [endpoint, ...down]);
  const [isolated, other] = members;
  for (const each of down) await callThrough(isolated, each).head;
  t.true(isolated.state.isolation.isIsolated);
  other.isStopping = true;
  const look = {endpoint: down[0], timeoutMs: TIMEOUT_MS, signal: SIGNAL};
  const failure = await isolated.connector.open({
    ...look,
    isLast: true,
    isProbe: true,
  });
  t.like(failure, {kind: 'failed', reason: 'isolated'});
});

test('a forwarder that has just lost its links doesn’t call an endpoint down', async t => {
  // Guards against whole answers that are cut off when several instances lose
  // their links at once and look through one another.
  const up = await listen(t, socket => socket.end());
  const down = ['a', 'b', 'c'].map(name =>
    describeEndpoint(name, '127.0.0.1:1'),
  );
  const [isolated, other] = await startMembers(t, 2, [up, ...down]);
  isolated.hasLinks = false;
  await callThrough(other, up).head;
  for (const each of down) await callThrough(other, each).head;
  t.true(other.state.isolation.isIsolated);
  const failure = await isolated.connector.open({
    endpoint: down[0],
    timeoutMs: TIMEOUT_MS,
    signal: SIGNAL,
    isLast: true,
    isProbe: true,
  });
  t.like(failure, {kind: 'failed', reason: 'isolated'});
});

test('a forwarder that can’t tell why it was refused is asked again at once', async t => {
  // Guards against instances without links that refuse all callers for a while
  // after an endpoint was down, though their forwarders reach others.
  const up = await listen(t, socket =>
    onRequest(socket, () => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const down = describeEndpoint('down', '127.0.0.1:1');
  const [isolated] = await startMembers(t, 2, [up, down]);
  isolated.hasLinks = false;
  t.is((await callThrough(isolated, down).head).kind, 'failed');
  t.is((await callThrough(isolated, up).head).kind, 'head');
});

test('an endpoint that the forwarder can’t reach either is down', async t => {
  const up = await listen(t, socket => socket.end());
  const down = describeEndpoint('down', '127.0.0.1:1');
  const [isolated, other] = await startMembers(t, 2, [up, down]);
  isolated.hasLinks = false;
  await callThrough(other, up).head;
  const head = await callThrough(isolated, down).head;
  t.is(head.kind === 'failed' ? head.reason : '', 'unreachable');
});

/** Passes connections on to a port; while it is held, nothing gets through. */
async function startHoldingProxy(t: ExecutionContext, port: number) {
  const sockets: Socket[] = [];
  const server = net.createServer(client => {
    const target = net.connect(port, '127.0.0.1');
    sockets.push(client, target);
    for (const socket of [client, target]) {
      socket.on('error', () => undefined);
    }
    client.pipe(target).pipe(client);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  let isHeld = false;
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    get isHeld() {
      return isHeld;
    },
    hold: () => {
      isHeld = true;
      for (const socket of sockets) socket.pause();
    },
    release: () => {
      for (const socket of sockets) socket.resume();
    },
  };
}

test('an answer comes through a forwarder that stood still for some seconds', async t => {
  // Guards against streams that can't go elsewhere and end with a forwarder that
  // is frozen for as long as a machine may be.
  let respond: (socket: Socket) => void = () => undefined;
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => respond(socket)),
  );
  const [, other] = await startMembers(t, 2, [endpoint]);
  const proxy = await startHoldingProxy(t, Number(other.address.split(':')[1]));
  const client = new ForwarderClient(brandAs<ForwarderAddress>(proxy.address));
  t.teardown(() => client.close());
  respond = socket => {
    proxy.hold();
    setTimeout(() => proxy.release(), STANDSTILL_MS);
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  };
  const call = new EndpointCall({
    method: 'GET',
    path: '/',
    composeHeaders: () => ['Host', 'test'],
    body: undefined,
    connect: async signal => {
      const request = {endpoint, timeoutMs: TIMEOUT_MS, signal};
      const opened = await client.open(request);
      if (opened.kind === 'open') return opened;
      return {kind: 'failed', path: 'forwarded', reason: 'timed_out'};
    },
    isStillUp: () => Promise.resolve(true),
  });
  t.is((await call.head).kind, 'head');
});

test('a tunnel goes on when another one got no answer', async t => {
  // Guards against streams cut off by closing the connection that they share.
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => {
      proxy.hold();
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const [, other] = await startMembers(t, 2, [endpoint]);
  const proxy = await startHoldingProxy(t, Number(other.address.split(':')[1]));
  const client = new ForwarderClient(brandAs<ForwarderAddress>(proxy.address));
  t.teardown(() => client.close());
  const request = {endpoint, timeoutMs: TIMEOUT_MS, signal: SIGNAL};
  const tunnel = await client.open(request);
  if (tunnel.kind === 'failed') return t.fail(tunnel.reason);
  const socket = tunnel.createConnection();
  socket.write('GET / HTTP/1.1\r\nHost: test\r\n\r\n');
  await waitUntil(() => proxy.isHeld);
  const failure = await client.open({...request, timeoutMs: 300});
  t.like(failure, {kind: 'failed', reason: 'no_answer'});
  proxy.release();
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  t.true(bytes.toString().endsWith('ok'));
});

test('a forwarder that is gone costs one wait, not one for each request', async t => {
  // Guards against callers waiting for forwarders that no longer exist.
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const [isolated, gone, other] = await startMembers(t, 3, [endpoint]);
  isolated.hasLinks = false;
  gone.forwarding.stop();
  for (let count = 0; count < 5; count += 1) {
    const head = await callThrough(isolated, endpoint).head;
    t.is(head.kind, 'head');
  }
  t.is(other.forwarding.knownForwarders, 2);
});

test('a link that is back is used at once', async t => {
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const [isolated] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const forwarded = callThrough(isolated, endpoint);
  await forwarded.head;
  t.is(forwarded.path, 'forwarded');
  isolated.hasLinks = true;
  await waitUntil(() => {
    // The probe accompanies a request.
    void callThrough(isolated, endpoint).head;
    return !isolated.state.isolation.isIsolated;
  });
  const direct = callThrough(isolated, endpoint);
  await direct.head;
  t.is(direct.path, 'direct');
});

test('a forwarder serves any number of tunnels over one link', async t => {
  // Guards against tunnels that end with a reset: HTTP/2 servers close a link
  // with many resets, and all its tunnels break.
  const endpoint = await listen(t, socket =>
    onRequest(socket, () => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    }),
  );
  const [isolated] = await startMembers(t, 2, [endpoint]);
  isolated.hasLinks = false;
  const results = new Map<string, number>();
  for (let count = 0; count < MANY_TUNNELS; count += PARALLEL_TUNNELS) {
    const calls = Array.from({length: PARALLEL_TUNNELS}, async () => {
      const call = callThrough(isolated, endpoint);
      const head = await call.head;
      if (head.kind === 'head') await readBody(head.response);
      const result = head.kind === 'failed' ? head.reason : `${call.path}`;
      results.set(result, (results.get(result) ?? 0) + 1);
    });
    await Promise.all(calls);
  }
  t.deepEqual([...results], [['forwarded', MANY_TUNNELS]]);
});
