import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {composeRequestIdLine} from '@snipestage/platform_stand_ins/answer_headers.js';
import {composeHead, Crowd, SmallSystem} from './test_support/small_system.js';

const FLOODING_ENDPOINT = fileURLToPath(
  new URL('test_support/flooding_endpoint.js', import.meta.url),
);
const FLOODS = [
  'chunks of one byte',
  'a body without a length',
  'short events',
  'text without an event',
  'answers to other requests',
  'interim answers',
];
const CROWD = 80;
/** Ordinary requests beside a crowd, and the time between them. */
const ORDINARY = 8;
const ORDINARY_EVERY_MS = 500;
/** Callers give up an instance that hasn't read their request by then. */
const ANSWERED_WITHIN_MS = 1000;
const CHUNKED = ['Transfer-Encoding: chunked'];

/**
 * Runs an endpoint and lists it as the only engine.
 *
 * @returns the number of its requests so far.
 */
async function startFlood(
  t: ExecutionContext,
  system: SmallSystem,
  name: string,
): Promise<() => number> {
  const child = spawn(process.execPath, [FLOODING_ENDPOINT, name], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.teardown(() => child.kill());
  const [address] = (await once(child.stdout, 'data')) as [Buffer];
  await system.listEngine(address.toString().trim());
  let requests = 0;
  child.stdout.on('data', (data: Buffer) => {
    requests += data.toString().split('\n').length - 1;
  });
  return () => requests;
}

/** Each ordinary request has to be answered while the crowd is there. */
async function checkBeside(
  t: ExecutionContext,
  system: SmallSystem,
): Promise<void> {
  for (let index = 0; index < ORDINARY; index += 1) {
    const sentAtMs = performance.now();
    const {status} = await system.callOnce();
    const tookMs = Math.round(performance.now() - sentAtMs);
    t.log(`${status} after ${tookMs} ms`);
    t.is(status, 200);
    t.true(tookMs <= ANSWERED_WITHIN_MS, `${tookMs} ms`);
    await pause(ORDINARY_EVERY_MS);
  }
}

for (const name of FLOODS) {
  test.serial(`requests are served beside answers of ${name}`, async t => {
    // Guards against an endpoint whose answers take an instance's processor time
    // or memory from the requests of others.
    t.timeout(180_000);
    const system = await SmallSystem.start(t, 0);
    const countRequests = await startFlood(t, system, name);
    const crowd = new Crowd(system.callersAddress);
    const request = (index: number) =>
      composeHead(system, {
        path: '/write/x',
        key: system.otherKey,
        lines: [composeRequestIdLine(`crowd-${index}`), 'Content-Length: 0'],
      });
    const sent = crowd.send(CROWD, request);
    await pause(ORDINARY_EVERY_MS);
    await checkBeside(t, system);
    t.log(`${countRequests()} requests at the endpoint`);
    t.true(countRequests() > 0);
    crowd.leave();
    await sent;
    await system.check(t);
  });
}

for (const callers of [10, 150]) {
  test.serial(
    `requests are served beside ${callers} bodies in chunks of one byte`,
    async t => {
      // Guards against callers whose bodies take an instance's processor time
      // from the requests of others.
      t.timeout(180_000);
      const system = await SmallSystem.start(t);
      const crowd = new Crowd(system.callersAddress);
      const body = '1\r\nx\r\n'.repeat(600_000);
      const key = system.otherKey;
      const head = composeHead(system, {lines: CHUNKED, key});
      const sent = crowd.send(callers, head + body);
      await pause(ORDINARY_EVERY_MS);
      await checkBeside(t, system);
      crowd.leave();
      await sent;
      await system.check(t);
    },
  );
}
