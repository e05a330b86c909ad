import {Agent, createServer, request, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {
  composeStreamHeaders,
  readRequestId,
} from '@snipestage/platform_stand_ins/answer_headers.js';
import {composeCallerHeaders} from '@snipestage/platform_stand_ins/caller_headers.js';
import {brandAs, type RequestId} from '@snipestage/types/ids.js';
import {SmallSystem} from './test_support/small_system.js';
import {HOST} from './world/operator.js';

const GRACE_MS = 8000;
const EVERY_MS = 100;
/** Longer than what is left of the grace time when the last ones come. */
const WORK_MS = 7000;
/** Time until the limit of the route and its callers, for all requests. */
const ANSWERED_WITHIN_MS = 13_000;

interface Outcome {
  readonly sentAfterMs: number;
  /** Status, or the code of an error. */
  readonly result: string;
  readonly isComplete: boolean;
}

/** An engine that sends the first event at once and the end after its work. */
async function startSlowEngine(t: ExecutionContext): Promise<string> {
  const server: Server = createServer((incoming, response) => {
    incoming.resume();
    const id = readRequestId(incoming.headers);
    response.writeHead(200, composeStreamHeaders(id));
    response.write('id: 1\ndata: x\n\n');
    const timer = setTimeout(() => response.end('id: 2\ndata: y\n\n'), WORK_MS);
    response.once('close', () => clearTimeout(timer));
  });
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function send(
  system: SmallSystem,
  options: {
    readonly id: string;
    readonly agent: Agent | false;
  },
  sentAfterMs: number,
): Promise<Outcome> {
  const [host, port] = system.callersAddress.split(':');
  return new Promise(resolve => {
    const call = request(
      {
        host,
        port,
        method: 'POST',
        path: '/write/x',
        agent: options.agent,
        headers: composeCallerHeaders({
          requestId: brandAs<RequestId>(options.id),
          host: HOST,
          callerTimeoutMs: ANSWERED_WITHIN_MS,
          key: system.key,
        }),
      },
      response => {
        response.resume();
        const settle = () =>
          resolve({
            sentAfterMs,
            result: String(response.statusCode),
            isComplete: response.complete,
          });
        response.on('error', settle);
        response.on('close', settle);
      },
    );
    call.setTimeout(ANSWERED_WITHIN_MS, () => call.destroy());
    call.on('error', (error: NodeJS.ErrnoException) =>
      resolve({sentAfterMs, result: error.code ?? '', isComplete: false}),
    );
    call.end();
  });
}

/** Sends requests from the signal until the instance listens no longer. */
async function sendWhileStopping(
  system: SmallSystem,
  agentOf: (index: number) => Agent | false,
): Promise<Outcome[]> {
  const outcomes: Array<Promise<Outcome>> = [];
  const beganAtMs = performance.now();
  const sinceMs = () => Math.round(performance.now() - beganAtMs);
  for (let index = 0; sinceMs() < GRACE_MS; index += 1) {
    const id = `late-${index}`;
    const agent = agentOf(index);
    outcomes.push(send(system, {id, agent}, sinceMs()));
    await pause(EVERY_MS);
  }
  return Promise.all(outcomes);
}

/** Complete, refused with the promise not to run, or not accepted. */
function isAllowed({result, isComplete}: Outcome): boolean {
  if (result === 'ECONNREFUSED') return true;
  return isComplete && (result === '200' || result === '503');
}

type ChooseAgent = (index?: number) => Agent | false;

const kept = new Agent({keepAlive: true, maxSockets: 20});

const fresh: ChooseAgent = () => false;
const CASES: ReadonlyArray<
  readonly [string, ChooseAgent, readonly NodeJS.Signals[]]
> = [
  ['new connections', fresh, ['SIGTERM']],
  ['kept connections', () => kept, ['SIGTERM']],
  ['new connections, with a reload', fresh, ['SIGTERM', 'SIGHUP']],
  ['new connections, with a second stop', fresh, ['SIGTERM', 'SIGTERM']],
];

for (const [name, agentOf, signals] of CASES) {
  test.serial(`a stop cuts off no request that it takes (${name})`, async t => {
    // Guards against requests that are taken late in a stop and cut off at the
    // end of the grace time, although they may not be repeated.
    t.timeout(120_000);
    const system = await SmallSystem.start(t, 0);
    await system.listEngine(await startSlowEngine(t));
    t.is(
      (await send(system, {id: 'before', agent: agentOf()}, 0)).result,
      '200',
    );
    for (const [index, signal] of signals.entries()) {
      setTimeout(() => system.signal(signal), index * 500);
    }
    const outcomes = await sendWhileStopping(system, agentOf);
    const counts = new Map<string, number>();
    for (const {result, isComplete} of outcomes) {
      const key = `${result}${isComplete ? '' : ' incomplete'}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    t.log(JSON.stringify([...counts]));
    t.deepEqual(
      outcomes.filter(each => !isAllowed(each)),
      [],
    );
  });
}
