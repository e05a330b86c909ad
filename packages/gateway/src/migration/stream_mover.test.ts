import test, {type ExecutionContext} from 'ava';
import {
  brandAs,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import {
  MovingEngine,
  STREAM_EVENTS,
  STREAM_TOKENS,
  WHOLE_STREAM,
  type EngineBehaviour,
} from '../test_support/moving_engine.js';
import {TestProxy, type CallerAnswer} from '../test_support/test_proxy.js';

const SERVICE = brandAs<ServiceId>('service');
const ENGINE = {batchSize: 4, cacheTokens: 10_000, migratesRequests: true};
/** Time for a move, and less than a stream lasts. */
const LEAVES_IN_MS = 2000;

/** Two engines, of which the one that runs the request is the source. */
class Deployment {
  readonly engines = [new MovingEngine(), new MovingEngine()];
  source!: MovingEngine;
  target!: MovingEngine;
  sourceId!: string;
  targetId!: string;
  readonly caller = new AbortController();

  private constructor(readonly proxy: TestProxy) {}

  static async start(
    t: ExecutionContext,
    options: {isOn?: boolean; migratesRequests?: boolean} = {},
  ): Promise<Deployment> {
    const deployment = new Deployment(new TestProxy());
    const {proxy, engines} = deployment;
    t.teardown(() => proxy.close());
    const scripts = engines.map(({script}) => script);
    await proxy.begin({kind: 'stream'}, scripts);
    const {migratesRequests = true} = options;
    const engine = {...ENGINE, migratesRequests};
    proxy.configure({kind: 'stream', timeoutMs: 10_000}, {engine});
    if (options.isOn ?? true) proxy.state.controls.noteSharedMachine(SERVICE);
    return deployment;
  }

  /** Sends a request; resolves once its stream runs at one of the engines. */
  async call(
    expectedTokens = STREAM_TOKENS,
  ): Promise<{readonly answer: Promise<CallerAnswer>}> {
    const answer = this.proxy.call('one', {
      body: 'order',
      headers: {'X-Parts': 'shared,own', 'X-Output': String(expectedTokens)},
      signal: this.caller.signal,
    });
    answer.catch(() => undefined);
    await until(() => this.engines.some(({runs}) => runs.length > 0));
    const index = this.engines.findIndex(({runs}) => runs.length > 0);
    this.source = this.engines[index];
    this.target = this.engines[1 - index];
    this.sourceId = `endpoint-${index}`;
    this.targetId = `endpoint-${1 - index}`;
    this.target.behaviour.intervalMs = 2;
    await pause(100);
    return {answer};
  }

  announceLeaving(leavesInMs?: number, id = this.sourceId): void {
    const {directory} = this.proxy.state;
    const listed = directory.find(brandAs<EndpointId>(id))!;
    const endpoint = {...listed, isLeaving: true, leavesInMs};
    directory.apply([{kind: 'listed', endpoint}], this.proxy.nowMs());
  }

  /** The engine that runs the request leaves while it does these things. */
  async leave(source: Partial<EngineBehaviour> = {}): Promise<CallerAnswer> {
    const {answer} = await this.call();
    Object.assign(this.source.behaviour, source);
    this.announceLeaving(LEAVES_IN_MS);
    return answer;
  }

  outcomes(): string[] {
    return this.linesOf('stream_move').map(({outcome}) => String(outcome));
  }

  continuations(): string[] {
    return this.linesOf('stream_continuation').map(({outcome}) =>
      String(outcome),
    );
  }

  linesOf(message: string): Array<Record<string, unknown>> {
    return this.proxy.log.lines
      .map(line => JSON.parse(line) as Record<string, unknown>)
      .filter(line => Object.values(line).includes(message));
  }

  /** At no time does the request run at two engines. */
  checkRunsOnce(t: ExecutionContext): void {
    const runs = this.engines
      .flatMap(engine => engine.runs)
      .sort((one, other) => one.beganAtMs - other.beganAtMs);
    for (const [index, run] of runs.entries()) {
      if (index === 0) continue;
      t.true(Number(runs[index - 1].endedAtMs) <= run.beganAtMs);
      t.not(run.memory, undefined);
    }
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(done => setTimeout(done, ms));
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

function checkWhole(t: ExecutionContext, answer: CallerAnswer): void {
  t.is(answer.status, 200);
  t.true(answer.isComplete);
  t.is(answer.body, WHOLE_STREAM);
}

/** The answer has broken off visibly, after a part of the stream. */
function checkCut(t: ExecutionContext, answer: CallerAnswer): void {
  t.false(answer.isComplete);
  t.true(answer.body.length < WHOLE_STREAM.length);
  t.true(WHOLE_STREAM.startsWith(answer.body));
}

test('a stream is moved and its caller gets each event once', async t => {
  // Guards against streams that are cut when their engines are taken away.
  const deployment = await Deployment.start(t);
  checkWhole(t, await deployment.leave());
  const {source, target, proxy} = deployment;
  t.deepEqual(source.copies, ['early', 'final']);
  t.is(target.runs.length, 1);
  const [run] = target.runs;
  const address = String(
    proxy.state.directory.find(brandAs<EndpointId>(deployment.sourceId))
      ?.address,
  );
  t.is(run.memory, `${address}/handle`);
  t.true(run.after > 0 && run.after < STREAM_EVENTS);
  t.is(run.body, 'order');
  deployment.checkRunsOnce(t);
  t.deepEqual(deployment.outcomes(), ['stopped']);
  t.deepEqual(deployment.continuations(), ['moved']);
  t.deepEqual(source.released, []);
  // Neither a failure of the engine nor a second run.
  t.is(deployment.linesOf('attempt_failed').length, 0);
  const [line] = deployment.linesOf('request');
  t.is(line.runs, 0);
});

test('a stream is moved again when its second engine leaves as well', async t => {
  // Guards against handles and numbers of events of the first move that are used
  // for the second one.
  const deployment = await Deployment.start(t);
  const {answer} = await deployment.call();
  const {target, targetId, proxy} = deployment;
  target.behaviour.intervalMs = 25;
  target.behaviour.early = {status: 200, handle: 'second'};
  target.behaviour.final = {status: 200, handle: 'second'};
  deployment.announceLeaving(2500);
  await until(() => target.runs.length > 0);
  const third = new MovingEngine();
  await proxy.addEndpoint('endpoint-2', third.script);
  deployment.announceLeaving(1300, targetId);
  checkWhole(t, await answer);
  t.is(third.runs.length, 1);
  t.regex(String(third.runs[0].memory), /\/second$/);
  t.true(Number(target.runs[0].endedAtMs) <= third.runs[0].beganAtMs);
  t.deepEqual(deployment.continuations(), ['moved', 'moved']);
  t.is(deployment.linesOf('request')[0].moves, 2);
});

test('without the switch nothing is moved', async t => {
  // Guards against changes for deployments that are in service.
  for (const options of [{isOn: false}, {migratesRequests: false}]) {
    const deployment = await Deployment.start(t, options);
    checkWhole(t, await deployment.leave());
    t.deepEqual(deployment.source.copies, []);
    t.is(deployment.target.runs.length, 0);
  }
});

test('without room in the retry budget nothing is moved', async t => {
  // Guards against moves that add more arrivals to a service than are allowed.
  const deployment = await Deployment.start(t);
  const budget = deployment.proxy.state.budgetFor(SERVICE);
  const {answer} = await deployment.call();
  while (budget.tryTake(deployment.proxy.nowMs()));
  deployment.announceLeaving(LEAVES_IN_MS);
  checkWhole(t, await answer);
  t.deepEqual(deployment.source.copies, []);
});

test('a move takes one retry from the budget of its service', async t => {
  // Guards against moves that add more arrivals to a service than are allowed.
  const deployment = await Deployment.start(t);
  const {proxy} = deployment;
  const budget = proxy.state.budgetFor(SERVICE);
  const {answer} = await deployment.call();
  for (let count = 0; count < 9; count += 1) budget.tryTake(proxy.nowMs());
  t.true(budget.hasRoom(proxy.nowMs()));
  deployment.announceLeaving(LEAVES_IN_MS);
  checkWhole(t, await answer);
  t.is(deployment.target.runs.length, 1);
  t.false(budget.hasRoom(proxy.nowMs()));
});

test('a run is not stopped when the retry budget is spent during its copy', async t => {
  // Guards against stopped runs that may not be continued.
  const deployment = await Deployment.start(t);
  const {proxy} = deployment;
  const onCopy = () => {
    while (proxy.state.budgetFor(SERVICE).tryTake(proxy.nowMs()));
  };
  checkWhole(t, await deployment.leave({onCopy}));
  t.deepEqual(deployment.source.copies, ['early']);
  t.deepEqual(deployment.source.released, ['handle']);
  t.deepEqual(deployment.outcomes(), ['no_budget']);
});

test('a planned leaving without a time moves only a stream that surely outlasts it', async t => {
  const deployment = await Deployment.start(t);
  // 50 events of 25 ms are expected, and 4.5 s would be needed.
  const {answer} = await deployment.call(STREAM_TOKENS / 2.4);
  deployment.announceLeaving();
  checkWhole(t, await answer);
  t.deepEqual(deployment.source.copies, []);
});

test('a copy that fails leaves the stream where it is', async t => {
  // Guards against runs that are stopped without a copy.
  const replies = [
    {early: {status: 503}, outcome: 'no_room', copies: 1},
    {early: {status: 404}, outcome: 'no_run', copies: 1},
    {early: {status: 409}, outcome: 'busy', copies: 2},
    {early: {status: 500}, outcome: 'unreadable', copies: 1},
    {early: 'lost', outcome: 'lost', copies: 1},
    {early: 'never', outcome: 'lost', copies: 1},
  ] as const;
  await Promise.all(
    replies.map(async ({early, outcome, copies}) => {
      const deployment = await Deployment.start(t);
      checkWhole(t, await deployment.leave({early}));
      t.is(deployment.source.copies.length, copies);
      t.true(
        deployment.outcomes().every(each => each === outcome),
        outcome,
      );
      t.is(deployment.target.runs.length, 0);
    }),
  );
});

test('a copy that takes too long is released and the stream stays', async t => {
  // Guards against runs that are stopped just before their engine goes.
  const deployment = await Deployment.start(t);
  const {answer} = await deployment.call();
  const {source, proxy} = deployment;
  source.behaviour.onCopy = () => (proxy.skippedMs = LEAVES_IN_MS - 700);
  deployment.announceLeaving(LEAVES_IN_MS);
  checkWhole(t, await answer);
  t.deepEqual(source.copies, ['early']);
  t.deepEqual(source.released, ['handle']);
  t.deepEqual(deployment.outcomes(), ['too_late']);
});

test('a final call that stops nothing leaves the stream where it is', async t => {
  const replies = [{status: 503}, {status: 404}, {status: 409}];
  await Promise.all(
    replies.map(async final => {
      const deployment = await Deployment.start(t);
      checkWhole(t, await deployment.leave({final}));
      t.deepEqual(deployment.source.copies, ['early', 'final']);
      t.deepEqual(deployment.outcomes(), ['running']);
      t.deepEqual(deployment.source.released, ['handle']);
      t.is(deployment.target.runs.length, 0);
    }),
  );
});

test('a run that stopped without a copy goes on at its engine', async t => {
  // Guards against a run that is lost as the target had no room for its rest.
  const deployment = await Deployment.start(t);
  const final = {status: 503, handle: 'kept'};
  checkWhole(t, await deployment.leave({final}));
  t.is(deployment.target.runs.length, 0);
  t.is(deployment.source.runs.length, 2);
  t.regex(String(deployment.source.runs[1].memory), /\/kept$/);
  t.deepEqual(deployment.continuations(), ['returned']);
  deployment.checkRunsOnce(t);
});

test('when the answer to the final call is lost nothing runs elsewhere', async t => {
  // Guards against a request that runs at two engines.
  const cut = await Deployment.start(t);
  checkCut(t, await cut.leave({final: 'lost', isStopped: true}));
  t.is(cut.target.runs.length, 0);
  t.is(cut.source.runs.length, 1);
  t.deepEqual(cut.outcomes(), ['unknown']);
  t.is(cut.linesOf('attempt_failed')[0].reason, 'move_lost');
  // The run goes on: the call has not reached it.
  const whole = await Deployment.start(t);
  checkWhole(t, await whole.leave({final: 'lost', isStopped: false}));
  t.is(whole.target.runs.length, 0);
});

test('a stopped run whose stream ends with its connection is not taken for complete', async t => {
  // Guards against half an answer that looks whole: without chunks or a length,
  // a stopped run closes its stream as one that has ended does.
  const moved = await Deployment.start(t);
  for (const {behaviour} of moved.engines) behaviour.isUnframed = true;
  checkWhole(t, await moved.leave());
  t.is(moved.target.runs.length, 1);
  const cut = await Deployment.start(t);
  for (const {behaviour} of cut.engines) behaviour.isUnframed = true;
  checkCut(t, await cut.leave({final: 'lost', isStopped: true}));
});

test('a stream that stays open after its run has stopped is closed', async t => {
  // Guards against a caller that waits for a stream without an engine.
  const deployment = await Deployment.start(t);
  checkWhole(t, await deployment.leave({staysOpen: true}));
  t.is(deployment.target.runs.length, 1);
});

test('a run whose target is gone goes on at its source', async t => {
  // Guards against a run that is lost with an engine that has only its copy.
  const deployment = await Deployment.start(t);
  const onCopy = (kind: string) => {
    if (kind === 'final') deployment.proxy.crash(deployment.targetId);
  };
  checkWhole(t, await deployment.leave({onCopy}));
  t.is(deployment.source.runs.length, 2);
  t.deepEqual(deployment.continuations(), ['returned']);
  deployment.checkRunsOnce(t);
});

test('a run whose target dies after it has begun there is cut visibly', async t => {
  // Guards against a second run of a request that must not be repeated.
  const deployment = await Deployment.start(t);
  const {answer} = await deployment.call();
  deployment.target.behaviour.intervalMs = 20;
  deployment.announceLeaving(LEAVES_IN_MS);
  await until(() => deployment.target.runs.length > 0);
  await pause(50);
  deployment.proxy.crash(deployment.targetId);
  checkCut(t, await answer);
  t.is(deployment.source.runs.length, 1);
  t.is(deployment.target.runs.length, 1);
});

test('a continuation that may have run is not sent to the source', async t => {
  // Guards against a request that runs at two engines: the target has got the
  // request, and its connection broke before an answer.
  const deployment = await Deployment.start(t);
  const {answer} = await deployment.call();
  deployment.target.behaviour.resets = true;
  deployment.announceLeaving(LEAVES_IN_MS);
  checkCut(t, await answer);
  t.is(deployment.target.runs.length, 1);
  t.is(deployment.source.runs.length, 1);
  t.deepEqual(deployment.continuations(), ['broken']);
});

test('a handle that is refused is used at the source', async t => {
  const deployment = await Deployment.start(t);
  const {answer} = await deployment.call();
  deployment.target.behaviour.refuses = true;
  deployment.announceLeaving(LEAVES_IN_MS);
  checkWhole(t, await answer);
  t.is(deployment.source.runs.length, 2);
  t.deepEqual(deployment.continuations(), ['returned']);
});

test('a handle that is refused everywhere is released and the answer cut', async t => {
  // Guards against a request that begins anew at any engine.
  const deployment = await Deployment.start(t);
  const {answer} = await deployment.call();
  for (const {behaviour} of deployment.engines) behaviour.refuses = true;
  deployment.announceLeaving(LEAVES_IN_MS);
  checkCut(t, await answer);
  await until(() => deployment.source.released.length > 0);
  t.deepEqual(deployment.continuations(), ['refused']);
  t.is(deployment.source.runs.length, 1);
  t.is(deployment.target.runs.length, 0);
});

test('when the source dies during the copy the answer is cut visibly', async t => {
  for (const kind of ['early', 'final']) {
    const deployment = await Deployment.start(t);
    const onCopy = (asked: string) => {
      if (asked === kind) deployment.proxy.crash(deployment.sourceId);
    };
    checkCut(t, await deployment.leave({onCopy}));
    t.is(deployment.target.runs.length, 0);
  }
});

test('when the caller leaves during a move its copy is released', async t => {
  // Guards against copies that hold memory and a slot for nobody.
  for (const kind of ['early', 'final']) {
    const deployment = await Deployment.start(t);
    const {answer} = await deployment.call();
    deployment.source.behaviour.onCopy = asked => {
      if (asked === kind) deployment.caller.abort();
    };
    deployment.announceLeaving(LEAVES_IN_MS);
    await t.throwsAsync(async () => {
      const {isComplete} = await answer;
      if (!isComplete) throw new Error('aborted');
    });
    await until(() => deployment.source.released.length > 0);
    t.is(deployment.target.runs.length, 0);
  }
});

test('when this instance stops during a move the answer is cut and the copy released', async t => {
  for (const kind of ['early', 'final']) {
    const deployment = await Deployment.start(t);
    const onCopy = (asked: string) => {
      if (asked === kind) deployment.proxy.giveUpAll();
    };
    checkCut(t, await deployment.leave({onCopy}));
    await until(() => deployment.source.released.length > 0);
    t.is(deployment.target.runs.length, 0);
  }
});
