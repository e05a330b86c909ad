import {setTimeout as delay} from 'node:timers/promises';
import {got} from 'got';
import test, {type ExecutionContext} from 'ava';
import {CallerConnection, chatBody} from './caller_connection.js';
import {TestWorld, waitUntil, type Answer} from './test_world.js';

/** Takes about 40 s at an engine, longer than the stopping instances have left. */
const LONG_ANSWER_TOKENS = 4000;
const NO_LAG = {balancerLagMs: 0};
/** The final write of usage ends when the test lets the store accept it. */
const HELD_FINAL_WRITE = {
  ...NO_LAG,
  graceMs: 60_000,
  finalWritesTimeoutMs: 60_000,
};

test('a first request on an open connection during a stop is refused, not cut', async t => {
  // A caller opens a connection without sending a request. The instance is told
  // to stop and keeps running for a long answer; the caller's first request comes
  // then. If admitted, it would be cut when the instance exits seconds later.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 4000}});
  const early = await CallerConnection.open(world.entries[0].callersUrl);
  const held = startLongAnswer(world, LONG_ANSWER_TOKENS);
  await waitForPhases(world, ['answering']);
  const {exited} = await stop(world);
  early.sendChat(LONG_ANSWER_TOKENS);
  await early.waitFor('\r\n\r\n');
  assertRefused(t, early);
  t.is(await runsAtEngines(world), 1);
  await held;
  t.is((await exited).code, 0);
});

test('a connection whose answer began before the stop closes with it', async t => {
  // The head of a streamed answer was sent before the stop, without
  // `connection: close`. If the connection stayed open, the caller's next request
  // would reach an instance that is about to exit.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 30_000}});
  const kept = await CallerConnection.open(world.entries[0].callersUrl);
  kept.sendChat(100);
  const held = startLongAnswer(world, 800);
  await waitForPhases(world, ['answering', 'answering']);
  const {exited} = await stop(world);
  await kept.waitFor('data: [DONE]');
  await Promise.race([waitUntil(() => kept.hasClosed), delay(2000)]);
  t.true(kept.hasClosed, 'the connection stayed open after the answer');
  t.true((await held).body.endsWith('data: [DONE]\n\n'));
  t.is((await exited).code, 0);
});

test('a request from a lagging balancer is admitted only if it can finish', async t => {
  // New connections arrive until the balancer has noticed a stop. A lookup with a
  // timeout of 5 s is served; a request with a deadline of 20 s is refused at
  // once rather than cut after 12 s.
  const world = await start(t, {
    shutdown: {balancerLagMs: 6000, graceMs: 6000},
  });
  const {exited} = await stop(world);
  const lookup = await world.call(0, '/services/booking/stock/tent');
  t.is(lookup.status, 200);
  t.is(lookup.headers.connection, 'close');
  const late = await CallerConnection.open(world.entries[0].callersUrl);
  late.sendChat(LONG_ANSWER_TOKENS);
  await late.waitFor('\r\n\r\n');
  assertRefused(t, late);
  t.is(await runsAtEngines(world), 0);
  t.is((await exited).code, 0);
});

test('a request that waits for an engine is refused at the stop, not cut', async t => {
  // The engine is at its concurrency limit of 1 when the instance is told to
  // stop. If the waiting request stayed in the queue, it would start shortly
  // before the exit and be cut, and its caller could not safely repeat it.
  const world = await start(
    t,
    {shutdown: {...NO_LAG, graceMs: 18_000}},
    {maxConcurrency: 1},
  );
  let hasFinished = false;
  const first = startLongAnswer(world, 300);
  void first.then(() => (hasFinished = true));
  await waitForPhases(world, ['answering']);
  const waiting = world.chat(0, 'next', {tokens: 8});
  await waitForPhases(world, ['answering', 'waiting']);
  const {exited} = await stop(world);
  const refusal = await waiting;
  t.false(
    hasFinished,
    'the waiting request was answered only after the running one',
  );
  assertRefusal(t, refusal);
  t.true((await first).body.endsWith('data: [DONE]\n\n'));
  t.is(await runsAtEngines(world), 1);
  t.is((await exited).code, 0);
});

test('a stream that outlasts the grace time ends with a refusal', async t => {
  // An answer takes longer than the grace time. If the connection were just
  // closed, the caller could not distinguish a stop from a fault.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 1000}});
  const stream = world.chat(0, 'all', {
    tokens: LONG_ANSWER_TOKENS,
    stream: true,
  });
  await waitForPhases(world, ['answering']);
  const {exited} = await stop(world);
  const {body} = await stream;
  t.regex(body, /"code":"shutting_down","verdict":"may_have_run"/);
  t.is((await exited).code, 0);
});

test('a caller that stalls while sending a body does not delay the exit', async t => {
  // A caller loses its network in the middle of an upload. If the instance waited
  // for the rest, its supervisor would have to kill it, with all that runs there.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 1000}});
  const stalled = await CallerConnection.open(world.entries[0].callersUrl);
  const body = chatBody(4);
  stalled.send('POST /v1/chat/completions', {
    body: body.slice(0, 10),
    contentLength: body.length,
  });
  await waitForPhases(world, ['waiting']);
  const {exited} = await stop(world);
  const ended = await Promise.race([exited, delay(20_000)]);
  t.truthy(ended, 'the process did not exit within 20 s');
  assertRefused(t, stalled);
});

test('an answer that is still on its way to its caller is not cut', async t => {
  // A caller reads a long answer slowly. The instance has written all of it and
  // has nothing else to do; if it exited then, the answer would be cut.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 20_000}});
  const note = 'x'.repeat(24 * 1024 * 1024);
  await got.post(`${world.service.url}/bookings`, {json: {note}});
  const slow = await CallerConnection.open(world.entries[0].callersUrl);
  slow.send('GET /services/booking/bookings');
  await slow.waitFor('\r\n\r\n');
  slow.socket.pause();
  await waitUntil(async () => (await phases(world)).length === 0);
  const {exited} = await stop(world);
  await delay(1000);
  slow.socket.resume();
  await exited;
  await waitUntil(() => slow.hasClosed);
  const [head, body] = slow.received.split('\r\n\r\n');
  const promised = Number(/content-length: (\d+)/i.exec(head)?.[1]);
  t.is(body.length, promised);
});

test('a request that arrives during the final write of usage is refused', async t => {
  // No request runs any more, but the store does not accept the usage yet. A
  // request that arrives then on an open connection would run, but its caller
  // would not get the answer, since the sockets are about to be closed.
  const world = await start(t, {shutdown: HELD_FINAL_WRITE});
  const early = await CallerConnection.open(world.entries[0].callersUrl);
  t.is((await world.chat(0, 'counted')).status, 200);
  const faults = {table: {mode: 'down', keyPrefix: 'usage/'}};
  await world.control(world.platform, {faults});
  const {exited} = await stop(world);
  await waitUntil(async () => (await shutdownPhase(world)) === 'closing');
  early.sendChat(LONG_ANSWER_TOKENS);
  await early.waitFor('\r\n\r\n');
  assertRefused(t, early);
  t.is(await runsAtEngines(world), 1);
  await world.control(world.platform, {faults: {table: {mode: 'ok'}}});
  t.is((await exited).code, 0);
});

test('a ticket submitted during a stop is answered', async t => {
  // A ticket is submitted to an instance that stops while the store is slow. If
  // the connection were closed, the operator would not know whether the ticket
  // was accepted.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 1000}});
  const keyPrefix = 'configuration/tickets/';
  const faults = {table: {mode: 'slow', delayMs: 1500, keyPrefix}};
  await world.control(world.platform, {faults});
  const submitted = world.submit([
    {kind: 'client_account', id: 'new', state: null},
  ]);
  await delay(800);
  const {exited} = await stop(world);
  const answer = await submitted.catch((error: Error) => error.message);
  t.is(typeof answer, 'object', String(answer));
  t.is((await exited).code, 0);
});

test('a ticket submitted during the final write of usage is refused', async t => {
  // An operator's command reaches an instance that is about to exit. The answer
  // says that nothing took effect, so that the command can try another instance.
  const world = await start(t, {shutdown: HELD_FINAL_WRITE});
  t.is((await world.chat(0, 'counted')).status, 200);
  const faults = {table: {mode: 'down', keyPrefix: 'usage/'}};
  await world.control(world.platform, {faults});
  const {exited} = await stop(world);
  await waitUntil(async () => (await shutdownPhase(world)) === 'closing');
  const {status, body} = await world.submit([
    {kind: 'client_account', id: 'new', state: null},
  ]);
  t.is(status, 503);
  t.deepEqual(JSON.parse(body), {outcome: 'unavailable'});
  await world.control(world.platform, {faults: {table: {mode: 'ok'}}});
  t.is((await exited).code, 0);
});

test('repeated stop requests cut no answer', async t => {
  // An operator drains an instance, then the supervisor sends its signal, and
  // repeats it since the instance still runs: it is finishing a long answer.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 40_000}});
  const held = startLongAnswer(world, 300);
  await waitForPhases(world, ['answering']);
  t.is((await world.admin(0, 'POST', 'drain')).status, 202);
  const {exited} = await stop(world);
  await world.dump(0);
  void world.entries[0].process.terminate();
  t.true((await held).body.endsWith('data: [DONE]\n\n'));
  t.is((await exited).code, 0);
});

test('an answer that breaks off during a stop continues at another engine', async t => {
  // An engine crashes while a stopping instance finishes its answers. The time
  // left may be less than the deadline of their class, but most answers need only
  // part of it, and a refusal would not help a caller that has half an answer.
  const world = await start(
    t,
    {shutdown: {...NO_LAG, graceMs: 18_000}},
    {engines: ['akl-a', 'akl-b']},
  );
  const answers = Array.from({length: 4}, () => startLongAnswer(world, 200));
  await waitForPhases(world, Array<string>(4).fill('answering'));
  const {exited} = await stop(world);
  const crash = {crash: {restartAfterMs: null}};
  // The crash also resets the connection of the control command.
  await world.control({url: world.engines.urls[0]}, crash).catch(() => {});
  for (const {body} of await Promise.all(answers)) {
    t.true(body.endsWith('data: [DONE]\n\n'), body.slice(-300));
  }
  t.is((await exited).code, 0);
});

test('the last instance of a data centre serves the requests that wait there', async t => {
  // The only instance of a data centre is told to stop while more requests wait
  // than run. No other instance takes over its cells, and it has time for all.
  const world = await start(
    t,
    {shutdown: {...NO_LAG, graceMs: 40_000}},
    {maxConcurrency: 2},
  );
  const answers = Array.from({length: 6}, () => startLongAnswer(world, 60));
  const held = ['answering', 'answering', ...Array<string>(4).fill('waiting')];
  await waitForPhases(world, held);
  const {exited} = await stop(world);
  for (const {status, body} of await Promise.all(answers)) {
    t.is(status, 200, body);
    t.true(body.endsWith('data: [DONE]\n\n'));
  }
  t.is((await exited).code, 0);
});

test('a store that does not answer delays the exit for seconds only', async t => {
  // The store does not answer when an instance is told to stop, so that leases,
  // claims and usage can't be written. An instance that waited for these writes
  // would be killed, together with the answers that it still streams.
  const world = await start(t, {shutdown: {...NO_LAG, graceMs: 1000}});
  t.is((await world.chat(0, 'counted')).status, 200);
  await world.control(world.platform, {faults: {table: {mode: 'silent'}}});
  const {exited} = await stop(world);
  const ended = await Promise.race([exited, delay(20_000)]);
  t.truthy(ended, 'the process did not exit within 20 s');
});

async function start(
  t: ExecutionContext,
  settings: {readonly shutdown: object},
  options: {
    readonly maxConcurrency?: number;
    readonly engines?: readonly string[];
  } = {},
): Promise<TestWorld> {
  const world = await TestWorld.start({...options, settings});
  t.teardown(() => world.close());
  return world;
}

/** Starts a streamed answer that keeps the instance from exiting. */
function startLongAnswer(world: TestWorld, tokens: number): Promise<Answer> {
  const answer = world.chat(0, 'hold', {tokens, stream: true});
  // A test that fails before it awaits the answer must not also fail with an
  // unhandled rejection.
  answer.catch(() => {});
  return answer;
}

/** Signals the instance to stop and waits until its shutdown has begun. */
async function stop(
  world: TestWorld,
): Promise<{readonly exited: Promise<{readonly code: number | null}>}> {
  const {process} = world.entries[0];
  const exited = process.terminate();
  await waitUntil(() => process.stderr.includes('shutdown_begun'));
  return {exited};
}

async function phases(world: TestWorld): Promise<string[]> {
  const {inFlight} = (await world.dump(0)) as {
    inFlight: Array<{phase: string}>;
  };
  return inFlight.map(({phase}) => phase).sort();
}

async function shutdownPhase(world: TestWorld): Promise<unknown> {
  return (await world.dump(0)).shutdown;
}

async function waitForPhases(
  world: TestWorld,
  expected: readonly string[],
): Promise<void> {
  const wanted = expected.join();
  await waitUntil(async () => (await phases(world)).join() === wanted);
}

async function runsAtEngines(world: TestWorld): Promise<number> {
  const {runsByRequestId} = await world.log(world.engines);
  return Object.keys(runsByRequestId as object).length;
}

function assertRefused(t: ExecutionContext, caller: CallerConnection): void {
  t.is(caller.status, 503, caller.received.slice(0, 300));
  t.regex(caller.received, /retry-after: \d/i);
  t.regex(caller.received, /connection: close/i);
  t.regex(caller.received, /"code":"shutting_down","verdict":"not_run"/);
}

function assertRefusal(t: ExecutionContext, answer: Answer): void {
  t.is(answer.status, 503, answer.body);
  t.regex(answer.headers['retry-after'] ?? '', /^\d+$/);
  t.regex(answer.body, /"code":"shutting_down","verdict":"not_run"/);
}
