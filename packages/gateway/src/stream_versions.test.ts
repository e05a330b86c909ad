import http from 'node:http';
import test, {type ExecutionContext} from 'ava';
import type {Route} from '@snipestage/routing/route.js';
import {
  brandAs,
  type ClientAccountId,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {RoutingState} from './routing_state.js';
import {encodeVersions, versionsRowKey} from './streams/stream_rows.js';
import {Streams} from './streams/streams.js';
import {CapturedLog} from './test_support/captured_log.js';
import {MemoryPlatform} from './test_support/memory_platform.js';
import {
  SLOW_ROUTE,
  startGateway,
  TestEndpoint,
  waitUntil,
} from './test_support/test_gateway.js';
import {
  chunk,
  streamHead,
  TestProxy,
  type Script,
} from './test_support/test_proxy.js';

const RESUMABLE: Partial<Route> = {
  kind: 'stream',
  isResumable: true,
  maxAttempts: 3,
};
const CALLS = 12;
const HEALTH_PATH = '/health';

const idOf = (request: string): string =>
  /x-request-id: (\S+)/i.exec(request)?.[1] ?? '';

/** Versions of the endpoints whose events an answer holds. */
const versionsIn = (body: string): readonly string[] => [
  ...new Set([...body.matchAll(/data: (v\d)/g)].map(([, version]) => version)),
];

/** An engine that crashes after its first event, and ends a resumed stream. */
const crashingEngine =
  (version: string): Script =>
  (socket, request) => {
    const event = (id: number) => chunk(`id: ${id}\ndata: ${version}\n\n`);
    socket.write(streamHead(idOf(request)));
    if (/last-event-id/i.test(request)) socket.end(event(2) + chunk(''));
    else socket.write(event(1), () => socket.resetAndDestroy());
  };

async function startEngines(
  t: ExecutionContext,
  versions: readonly string[],
  engine: (version: string) => Script = crashingEngine,
): Promise<TestProxy> {
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  proxy.versionOf = id => versions[Number(id.split('-')[1])];
  await proxy.begin(RESUMABLE, versions.map(engine));
  return proxy;
}

test('an answer goes on only at the software version that began it', async t => {
  // Guards against answers that join what two versions wrote.
  const proxy = await startEngines(t, ['v1', 'v2', 'v1', 'v2', 'v1', 'v2']);
  for (let call = 0; call < CALLS; call += 1) {
    const {body, isComplete} = await proxy.call(`call-${call}`, {body: 'p'});
    t.true(isComplete);
    t.is(versionsIn(body).length, 1, body);
  }
});

test('an answer does not go on at an endpoint that started again under its id', async t => {
  // Guards against answers that join what two versions wrote: the entry of the
  // endpoint is of its former start, and names the software version of that.
  const proxy = new TestProxy();
  t.teardown(() => proxy.close());
  const restarted: Script = (socket, request) => {
    const event = (version: string) =>
      chunk(`id: 2\ndata: ${version}\n\n`) + chunk('');
    const identity = 'X-Endpoint: endpoint-1\r\nX-Born: 2\r\n';
    if (request.startsWith(`GET ${HEALTH_PATH} `))
      socket.end(`HTTP/1.1 200 OK\r\n${identity}Content-Length: 0\r\n\r\n`);
    else if (/last-event-id/i.test(request))
      socket.end(streamHead(idOf(request)) + event('v2'));
    else socket.end(streamHead(idOf(request)) + event('v1'));
  };
  proxy.versionOf = () => 'v1';
  await proxy.begin(RESUMABLE, [crashingEngine('v1'), restarted]);
  proxy.configure(RESUMABLE, {healthPath: HEALTH_PATH});
  let broken = 0;
  for (let call = 0; call < CALLS; call += 1) {
    const {body, isComplete} = await proxy.call(`call-${call}`, {body: 'p'});
    t.deepEqual(versionsIn(body), ['v1']);
    if (!isComplete) broken += 1;
  }
  t.true(broken > 0);
});

test('an answer whose software version is gone is broken off', async t => {
  // Guards against another version that takes over since no other is left.
  const proxy = await startEngines(t, ['v1', 'v2']);
  const {body, isComplete} = await proxy.call('one', {body: 'p'});
  t.false(isComplete);
  t.is(versionsIn(body).length, 1);
  t.is(proxy.received.length, 1);
});

test('before its first event an answer may change to another version', async t => {
  const failFirst = (version: string): Script => {
    return (socket, request) => {
      if (proxy.received.length === 1) socket.resetAndDestroy();
      else
        socket.end(
          `${streamHead(idOf(request))}${chunk(`id: 1\ndata: ${version}\n\n`)}${chunk('')}`,
        );
    };
  };
  const proxy = await startEngines(t, ['v1', 'v2'], failFirst);
  t.true((await proxy.call('one', {body: 'p'})).isComplete);
  t.is(proxy.received.length, 2);
});

test('a request whose endpoint crashes is repeated at the version that is recorded', async t => {
  // Guards against streams that no other instance can resume, as they may have
  // begun at either of two versions.
  const failFirst = (version: string): Script => {
    return (socket, request) => {
      if (proxy.received.length % 2 === 1) socket.resetAndDestroy();
      else
        socket.end(
          `${streamHead(idOf(request))}${chunk(`id: 1\ndata: ${version}\n\n`)}${chunk('')}`,
        );
    };
  };
  const versions = ['v1', 'v2', 'v1', 'v2'];
  const proxy = await startEngines(t, versions, failFirst);
  for (let call = 0; call < CALLS; call += 1) {
    await proxy.call(`call-${call}`, {body: 'p'});
    const used = proxy.received.slice(-2).map(({endpoint}) => endpoint);
    const indexes = used.map(endpoint => Number(endpoint.split('-')[1]));
    t.is(new Set(indexes.map(index => versions[index])).size, 1);
  }
});

interface Answer {
  readonly status: number;
  readonly retryAfter: string | undefined;
  readonly body: string;
  readonly isComplete: boolean;
}

/** Sends a request; leaves after the first event if told so. */
function stream(
  port: number,
  id: string,
  options: {readonly resumes?: string; readonly leaves?: boolean} = {},
): Promise<Answer> {
  const {resumes, leaves = false} = options;
  const headers: Record<string, string> = {Host: 'slow.example'};
  headers['X-Request-Id'] = id;
  if (resumes !== undefined) headers['Last-Event-Id'] = '1';
  if (resumes !== undefined && resumes !== '') headers['X-Continues'] = resumes;
  return new Promise((resolve, reject) => {
    const request = http.get(
      {host: '127.0.0.1', port, path: '/x', agent: false, headers},
      response => {
        let body = '';
        const settle = () =>
          resolve({
            status: response.statusCode ?? 0,
            retryAfter: response.headers['retry-after'],
            body,
            isComplete: response.complete,
          });
        response.on('data', (data: Buffer) => {
          body += data.toString();
          if (leaves && body.endsWith('\n\n')) response.destroy();
        });
        response.on('error', settle);
        response.on('close', settle);
      },
    );
    request.on('error', reject);
  });
}

/** An engine that never ends a stream that it begins, but a resumed one. */
async function startEngine(t: ExecutionContext, version: string) {
  const engine = new TestEndpoint((response, id, request) => {
    response.writeHead(200, {'X-Request-Id': id, 'X-Signature': 'proof'});
    if (request.headers['last-event-id'] === undefined) {
      response.write(`id: 1\ndata: ${version}\n\n`);
    } else response.end(`id: 2\ndata: ${version}\n\n`);
  });
  await engine.start();
  t.teardown(() => engine.close());
  return engine;
}

interface Cluster {
  readonly platform: MemoryPlatform;
  readonly ports: readonly number[];
  readonly engines: readonly TestEndpoint[];
  /** Starts one more instance. */
  readonly add: () => Promise<number>;
}

/** Instances of one store, which serve streams of these versions. */
async function startInstances(
  t: ExecutionContext,
  versions: readonly string[],
): Promise<Cluster> {
  const platform = new MemoryPlatform();
  const engines = await Promise.all(
    versions.map(version => startEngine(t, version)),
  );
  let count = 0;
  const add = async (): Promise<number> => {
    const member = await startGateway({
      instance: `instance-${(count += 1)}`,
      platform,
      graceMs: 1500,
      routes: [{...SLOW_ROUTE, ...RESUMABLE}],
    });
    t.teardown(() => member.gateway.stop());
    for (const [index, {address}] of engines.entries()) {
      const version = versions[index];
      member.endpoints.put(`engine-${index}@${address}@${version}`);
    }
    member.configuration.put('1');
    await waitUntil(() => member.gateway.isReady);
    await begin(member.callers, `warm-up-${count}`);
    return member.callers;
  };
  const ports = [await add(), await add()];
  return {platform, ports, engines, add};
}

/** Begins a stream and leaves it; repeats it until it is served. */
async function begin(port: number, name: string): Promise<[string, string]> {
  for (let attempt = 0; ; attempt += 1) {
    const id = `${name}-${attempt}`;
    const {status, body} = await stream(port, id, {leaves: true});
    if (status === 200) return [id, versionsIn(body)[0]];
    await new Promise(done => setTimeout(done, 50));
  }
}

const countBegun = ({engines}: Cluster): number =>
  engines.reduce((sum, {begun}) => sum + begun.length, 0);

test("a caller's next try goes on at the version that began the stream, whichever instance it asks", async t => {
  // Guards against instances that resume the streams of others anywhere.
  const {ports} = await startInstances(t, ['v1', 'v2']);
  for (let call = 0; call < CALLS; call += 1) {
    const [resumes, version] = await begin(ports[call % 2], `call-${call}`);
    const answer = await stream(ports[(call + 1) % 2], `next-${call}`, {
      resumes,
    });
    t.like(answer, {status: 200, isComplete: true});
    t.deepEqual(versionsIn(answer.body), [version]);
  }
});

test('a third try names the attempt that brought the first event', async t => {
  // Guards against records that only the second try finds.
  const {ports, add} = await startInstances(t, ['v1', 'v2']);
  for (let call = 0; call < CALLS / 2; call += 1) {
    const [resumes, version] = await begin(ports[0], `call-${call}`);
    await stream(ports[1], `second-${call}`, {resumes, leaves: true});
    const port = call === 0 ? await add() : ports[1];
    const answer = await stream(port, `third-${call}`, {resumes});
    t.deepEqual(versionsIn(answer.body), [version]);
  }
});

test('a stream of an unknown version is refused and sent nowhere', async t => {
  // Guards against a guess between two versions.
  const cluster = await startInstances(t, ['v1', 'v2']);
  const begunBefore = countBegun(cluster);
  for (const resumes of ['never-seen', '', 'x'.repeat(4000)]) {
    const answer = await stream(cluster.ports[0], 'lost', {resumes});
    t.is(answer.status, 503);
    t.true(Number(answer.retryAfter) > 0);
  }
  t.is(countBegun(cluster), begunBefore);
});

/** Starts an instance of a store which lists these engines. */
async function startMember(
  t: ExecutionContext,
  platform: MemoryPlatform,
  listed: Readonly<Record<string, TestEndpoint>>,
) {
  const member = await startGateway({
    platform,
    graceMs: 200,
    routes: [{...SLOW_ROUTE, ...RESUMABLE}],
  });
  t.teardown(() => member.gateway.stop());
  const list = (version: string, {address}: TestEndpoint) =>
    member.endpoints.put(`engine-${version}@${address}@${version}`);
  for (const [version, engine] of Object.entries(listed)) list(version, engine);
  member.configuration.put('1');
  await waitUntil(() => member.gateway.isReady);
  return {...member, list};
}

for (const [name, hasOldLeft] of [
  ['serves beside it', false],
  ['has just left', true],
] as const) {
  for (const isPublished of [true, false]) {
    const when = isPublished ? 'after' : 'before';
    test(`no stream goes on at a new version when all instances were lost ${when} they published it and the old one ${name}`, async t => {
      // Guards against streams that are joined from two versions since nothing
      // that has outlasted the instances names the old one.
      const platform = new MemoryPlatform();
      const [v1, v2] = [await startEngine(t, 'v1'), await startEngine(t, 'v2')];
      const first = await startMember(t, platform, {v1});
      const begun: string[] = [];
      for (let call = 0; call < CALLS; call += 1) {
        begun.push((await begin(first.callers, `call-${call}`))[0]);
      }
      if (!isPublished) platform.isAway = true;
      first.list('v2', v2);
      if (isPublished) await waitUntil(() => first.lines.some(learntBoth));
      platform.isAway = true;
      await first.gateway.stop();
      platform.isAway = false;
      const listed: Record<string, TestEndpoint> = hasOldLeft ? {v2} : {v1, v2};
      const second = await startMember(t, platform, listed);
      const countBefore = v2.begun.length;
      for (const resumes of begun) {
        const answer = await stream(second.callers, `next-${resumes}`, {
          resumes,
        });
        t.deepEqual(
          versionsIn(answer.body),
          answer.status === 200 ? ['v1'] : [],
        );
        t.true(answer.status === 200 || answer.status === 503);
        if (hasOldLeft) t.is(answer.status, 503);
      }
      t.is(v2.begun.length, countBefore);
    });
  }
}

const learntBoth = (line: string): boolean =>
  line.includes('software_versions_learnt') && line.includes('"v2"');

test('while the store is away a stream goes on where it began, and is refused elsewhere', async t => {
  // Guards against a guess of an instance that is cut off.
  const cluster = await startInstances(t, ['v1', 'v2']);
  const {ports, platform} = cluster;
  const [resumes, version] = await begin(ports[0], 'call');
  platform.isAway = true;
  const elsewhere = await stream(ports[1], 'elsewhere', {resumes});
  t.is(elsewhere.status, 503);
  t.true(Number(elsewhere.retryAfter) > 0);
  const here = await stream(ports[0], 'here', {resumes});
  t.deepEqual(versionsIn(here.body), [version]);
});

test('a stream that began while the store was away is known once it is back', async t => {
  // Guards against records that are given up with the first failed write.
  const {ports, platform} = await startInstances(t, ['v1', 'v2']);
  platform.isAway = true;
  const [resumes, version] = await begin(ports[0], 'call');
  await new Promise(done => setTimeout(done, 100));
  platform.isAway = false;
  let answer: Answer;
  do answer = await stream(ports[1], 'later', {resumes});
  while (answer.status === 503);
  t.deepEqual(versionsIn(answer.body), [version]);
});

test('a store that does not answer is asked once', async t => {
  // Guards against callers that wait for an answer that nothing can give.
  const platform = new MemoryPlatform();
  let calls = 0;
  platform.readRows = () => {
    calls += 1;
    return new Promise(() => undefined);
  };
  const streams = new Streams({
    platform,
    state: new RoutingState({ratio: 1, windowMs: 1, slack: 1, floor: 1}),
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
  });
  const resolved = await streams.resolve({
    clientAccount: undefined,
    resumes: brandAs<RequestId>('one'),
    service: brandAs<ServiceId>('s'),
  });
  t.deepEqual(resolved, {kind: 'unknown', reason: 'stream_not_looked_up'});
  t.is(calls, 1);
});

test('a stream is looked up in a slow store while its caller has time', async t => {
  // Guards against refusing streams that could go on, as the store takes longer
  // to answer while many instances read a new configuration.
  const platform = new MemoryPlatform();
  const service = brandAs<ServiceId>('s');
  const readRows = platform.readRows.bind(platform);
  platform.readRows = async keys => {
    await new Promise(done => setTimeout(done, 700));
    return readRows(keys);
  };
  const streams = new Streams({
    platform,
    state: new RoutingState({ratio: 1, windowMs: 1, slack: 1, floor: 1}),
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
  });
  await platform.transact({
    checks: [],
    writes: [
      {
        key: versionsRowKey(service),
        value: encodeVersions(new Set([brandAs<SoftwareVersion>('v1')])),
      },
    ],
  });
  const resumption = {
    clientAccount: undefined,
    resumes: brandAs<RequestId>('one'),
    service,
  };
  t.like(await streams.resolve({...resumption, timeLeftMs: 1000}), {
    kind: 'unknown',
  });
  t.like(await streams.resolve({...resumption, timeLeftMs: 6000}), {
    kind: 'known',
    source: 'single_version',
  });
});

test('a stream of another client account is unknown', async t => {
  // Guards against callers that learn of the streams of others, or take them up.
  const platform = new MemoryPlatform();
  const streams = new Streams({
    platform,
    state: new RoutingState({ratio: 1, windowMs: 1, slack: 1, floor: 1}),
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
  });
  const [own, other] = ['own', 'other'].map(id => brandAs<ClientAccountId>(id));
  const resumes = brandAs<RequestId>('one');
  const service = brandAs<ServiceId>('s');
  const softwareVersion = brandAs<SoftwareVersion>('v1');
  streams.noteBegun(own, resumes, {service, softwareVersion});
  const find = (clientAccount: ClientAccountId) =>
    streams.resolve({clientAccount, resumes, service});
  t.like(await find(own), {kind: 'known', source: 'memory'});
  t.is((await find(other)).kind, 'unknown');
});

test('with a single version streams go on without a record', async t => {
  // Guards against refusals, and against writes, on days without a release.
  const {ports, platform} = await startInstances(t, ['v1', 'v1']);
  const written = platform.rows.size;
  const answer = await stream(ports[0], 'one', {resumes: 'never-seen'});
  t.like(answer, {status: 200, isComplete: true});
  await begin(ports[1], 'two');
  t.is(platform.rows.size, written);
});

for (const [name, missedForMs, ageMs] of [
  ['that has not noticed the set-back', undefined, 5000],
  ['that was out of step when the store was set back', 60_000, 5000],
  ['that has started since', undefined, undefined],
] as const) {
  test(`an instance ${name} doesn't guess the version of a stream`, async t => {
    // Guards against streams that are joined from two versions: the copy of the
    // store names the old one alone, and has no record of the stream.
    const platform = new MemoryPlatform();
    const {resumption, publish} = startRelease(platform);
    await publish('v1');
    const copy = platform.copy();
    await publish('v1', 'v2');
    platform.setBack(copy);
    const streams = createStreams(platform, ageMs);
    if (missedForMs !== undefined) streams.noteNewEra(1, missedForMs);
    t.is((await streams.resolve(resumption)).kind, 'unknown');
  });
}

test('a version that the store has lost still counts where it was known', async t => {
  // Guards against an instance that forgets a version with the copy's rows, as
  // its endpoints have left and nothing publishes it again.
  const platform = new MemoryPlatform();
  const {resumption, publish, service} = startRelease(platform);
  await publish('v1');
  const copy = platform.copy();
  const both = await publish('v1', 'v2');
  const streams = createStreams(platform);
  streams.learnVersions(service, versionsOf('v1', 'v2'), both);
  platform.setBack(copy);
  streams.noteNewEra(1, 100);
  const [row] = platform.rows.values();
  streams.learnVersions(service, versionsOf('v1'), row.version);
  t.is((await streams.resolve(resumption)).kind, 'unknown');
});

test('streams go on without a record after a set-back that lost no version', async t => {
  // Guards against refusals of each stream that is taken up after an outage.
  const platform = new MemoryPlatform();
  const {resumption, publish} = startRelease(platform);
  await publish('v1');
  platform.setBack(platform.copy());
  const inStep = createStreams(platform);
  inStep.noteNewEra(1, 100);
  t.like(await inStep.resolve(resumption), {source: 'single_version'});
  const later = createStreams(platform, 600_000);
  t.like(await later.resolve(resumption), {source: 'single_version'});
});

/** A service whose versions a test publishes, and a stream of it. */
function startRelease(platform: MemoryPlatform) {
  const service = brandAs<ServiceId>('s');
  const resumes = brandAs<RequestId>('one');
  const key = versionsRowKey(service);
  const publish = async (...names: string[]) => {
    const value = encodeVersions(new Set(versionsOf(...names)));
    await platform.transact({checks: [], writes: [{key, value}]});
    return platform.rows.get(key)!.version;
  };
  const resumption = {clientAccount: undefined, resumes, service};
  return {service, publish, resumption};
}

function versionsOf(...names: string[]): readonly SoftwareVersion[] {
  return names.map(name => brandAs<SoftwareVersion>(name));
}

/** @param ageMs how long ago the era of the store began, if that is known. */
function createStreams(platform: MemoryPlatform, ageMs?: number): Streams {
  return new Streams({
    platform,
    state: new RoutingState({ratio: 1, windowMs: 1, slack: 1, floor: 1}),
    logger: new CapturedLog().logger,
    nowMs: () => performance.now(),
    eraAgeMs: () => Promise.resolve(ageMs),
  });
}
