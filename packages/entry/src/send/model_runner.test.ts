import {NoMetrics} from '@snipestage/log/metrics.js';
import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  ClientAccount,
  Endpoint,
  RequestClass,
} from '@snipestage/types/configuration.js';
import {brandAs, type AttemptId} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  AnswerSink,
  type AnswerPiece,
  type AnswerUsage,
} from '../answer/answer_sink.js';
import {
  Permits,
  type AttemptReport,
  type Permit,
  type PermitRequest,
} from '../choose/permits.js';
import {BudgetedRetries} from './budgeted_retries.js';
import {EndpointError, type EndpointErrorKind} from './endpoint_error.js';
import {
  EngineDriver,
  type EngineCall,
  type EngineListener,
} from './engine_driver.js';
import {ModelRunner, type ModelWork} from './model_runner.js';

/** Script of one connection to an engine: tokens, then the end or a failure. */
interface Script {
  readonly tokens: readonly string[];
  readonly fails?: EndpointErrorKind;
}

class ScriptedDriver extends EngineDriver {
  readonly calls: EngineCall[] = [];
  readonly cancelled: string[] = [];

  constructor(private readonly scripts: Script[]) {
    super();
  }

  async run(call: EngineCall, listener: EngineListener): Promise<void> {
    this.calls.push(call);
    const script = this.scripts.shift();
    if (script === undefined) throw new Error('one call too many');
    for (const text of script.tokens) {
      await listener([{kind: 'token', text, chunk: {}}]);
    }
    if (script.fails !== undefined) {
      const isUnsent = ['unreachable', 'refused'].includes(script.fails);
      const verdict = isUnsent ? 'not_run' : 'may_have_run';
      throw new EndpointError('scripted', {kind: script.fails, verdict});
    }
    await listener([{kind: 'usage', promptTokens: 3, outputTokens: 9}]);
  }

  async cancel(url: string, attempt: string): Promise<void> {
    this.cancelled.push(attempt);
  }
}

class CountingPermits extends Permits {
  readonly requests: PermitRequest[] = [];
  readonly reports: AttemptReport[] = [];

  async acquire(request: PermitRequest): Promise<Permit> {
    this.requests.push(request);
    const endpoint = {
      id: `e${this.requests.length}`,
      url: 'http://127.0.0.1:1',
    } as unknown as Endpoint;
    return {
      endpoint,
      progress: () => {},
      release: report => this.reports.push(report),
    };
  }
}

class TextSink extends AnswerSink {
  text = '';
  finished = false;

  get hasBegun(): boolean {
    return this.text !== '';
  }

  get deliveredTokens(): number {
    return 0;
  }

  write(piece: AnswerPiece): undefined {
    this.text += piece.text;
    return undefined;
  }

  async finish(): Promise<void> {
    this.finished = true;
  }

  fail(): void {}
}

const REQUEST_CLASS = {
  id: 'counter',
  tier: 0,
  firstTokenTargetMs: 310,
  deadlineMs: 30_000,
} as unknown as RequestClass;

function workWith(signal: AbortSignal): ModelWork {
  return {
    requestId: brandAs('r'),
    path: '/v1/chat/completions',
    body: {messages: [{role: 'user', content: 'hi'}], max_tokens: 10},
    requestClass: REQUEST_CLASS,
    arrivedAtMs: 0,
    signal,
    permit: {
      target: {kind: 'model', model: brandAs('repair')},
      clientAccount: {id: 'shop'} as unknown as ClientAccount,
      requestClass: REQUEST_CLASS,
      expectedTokens: 5,
      fingerprint: brandAs('f'),
      limit: {kind: 'deadline', atMs: 60_000},
      repeatable: true,
    },
  };
}

class CountingMetrics extends NoMetrics {
  readonly counted: string[] = [];

  override count(name?: string, value?: number, tags: object = {}): void {
    this.counted.push([name, value, ...Object.values(tags)].join(' '));
  }
}

function createWorld(...scripts: Script[]) {
  const driver = new ScriptedDriver(scripts);
  const permits = new CountingPermits();
  const metrics = new CountingMetrics();
  const runner = new ModelRunner({
    metrics,
    permits,
    driver,
    retryPolicy: new BudgetedRetries({clock: () => 0, random: () => 0}),
    clock: () => 0,
    chunkTimeoutMs: 1000,
  });
  const sink = new TextSink();
  const abort = new AbortController();
  const run = (): Promise<AnswerUsage> =>
    runner.run(workWith(abort.signal), sink);
  return {driver, permits, metrics, sink, abort, run};
}

test('a broken stream is resumed at the same engine', async t => {
  // The connection to an engine is reset while the engine keeps generating. The
  // caller must get each token once, and no token may be generated twice.
  const world = createWorld(
    {tokens: ['a', 'b'], fails: 'broken'},
    {tokens: ['c']},
  );
  const usage = await world.run();
  t.is(world.sink.text, 'abc');
  t.deepEqual(usage, {promptTokens: 3, outputTokens: 3});
  t.is(world.driver.calls[1].resumeOffset, 2);
  t.is(world.driver.calls[1].attempt, world.driver.calls[0].attempt);
  t.is(world.permits.reports.length, 1);
});

test('another engine continues the answer of a crashed one', async t => {
  // An engine crashes in the middle of an answer. The caller must get the rest
  // from another engine, each token once.
  const world = createWorld(
    {tokens: ['a', 'b'], fails: 'broken'},
    {tokens: [], fails: 'unreachable'},
    {tokens: ['c']},
  );
  await world.run();
  t.is(world.sink.text, 'abc');
  const {body, attempt} = world.driver.calls[2];
  t.is(attempt, brandAs<AttemptId>('r.2'));
  t.like(body, {max_tokens: 8, continue_final_message: true});
  t.deepEqual((body.messages as object[])[1], {
    role: 'assistant',
    content: 'ab',
  });
  t.deepEqual(world.permits.requests[1].excluded, [brandAs('e1')]);
  t.is(world.permits.reports[0].outcome, 'crashed');
});

test('streams that go on after a failure are counted by how they do', async t => {
  // Guards against engines whose broken streams no metric shows.
  const resumed = createWorld(
    {tokens: ['a'], fails: 'broken'},
    {tokens: ['b']},
  );
  await resumed.run();
  const {id} = REQUEST_CLASS;
  t.deepEqual(resumed.metrics.counted, [`streams_resumed 1 ${id} same_engine`]);
  const continued = createWorld(
    {tokens: ['a'], fails: 'broken'},
    {tokens: [], fails: 'unreachable'},
    {tokens: ['b']},
  );
  await continued.run();
  t.deepEqual(continued.metrics.counted, [`streams_resumed 1 ${id} continued`]);
  const repeated = createWorld(
    {tokens: [], fails: 'unreachable'},
    {tokens: ['a']},
  );
  await repeated.run();
  t.deepEqual(repeated.metrics.counted, []);
});

test('a request that fails at all engines is refused with the worst verdict', async t => {
  const world = createWorld(
    {tokens: [], fails: 'unreachable'},
    {tokens: [], fails: 'errored'},
    {tokens: [], fails: 'unreachable'},
  );
  const error = await t.throwsAsync(world.run(), {instanceOf: RequestError});
  t.is(error.refusal.code, 'endpoint_failed');
  t.is(error.refusal.verdict, 'may_have_run');
  t.is(world.permits.reports.length, 3);
});

test('an attempt is cancelled at its engine when the caller disconnects', async t => {
  // The caller disconnects in the middle of an answer. Without the cancel call
  // the engine would go on generating tokens that nobody reads.
  const world = createWorld({tokens: ['a'], fails: 'cancelled'});
  world.abort.abort();
  await t.throwsAsync(world.run());
  t.deepEqual(world.driver.cancelled, ['r.1']);
  t.is(world.permits.reports[0].outcome, 'cancelled');
});
