import test from 'ava';
import got from 'got';
import {streamCompletion, type StreamResult} from '../client/stream_client.js';
import {expectedCompletion} from './completion.js';
import {EngineStandIn, type EngineStandInOptions} from './engine_stand_in.js';
import {DEFAULT_POISON_MARK} from './sequence_factory.js';

const PROMPT = 'user: Patch a tent';
const MESSAGES = [{role: 'user', content: 'Patch a tent'}];

async function startEngine(
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const engine = new EngineStandIn({
    batch: {betweenTokensMs: 2},
    holdForMs: 60_000,
    ...options,
  });
  await engine.start();
  return engine;
}

function ask(
  engine: EngineStandIn,
  requestId: string,
  body: object = {},
  signal?: AbortSignal,
): Promise<StreamResult> {
  return streamCompletion({
    url: engine.url,
    headers: {'x-request-id': requestId},
    body: {model: 'repair', max_tokens: 3, messages: MESSAGES, ...body},
    signal,
  });
}

test('a stream has one token per chunk, the request id, usage and `[DONE]`', async t => {
  const engine = await startEngine();
  const result = await ask(engine, 'attempt-1');
  t.is(result.requestId, 'attempt-1');
  t.deepEqual(result.chunkIds, ['attempt-1']);
  t.true(result.isComplete);
  t.is(result.tokenTimesMs.length, 3);
  t.is(result.usage?.completion_tokens, 3);
  t.is(result.text, expectedCompletion(PROMPT, 3));
  await engine.stop();
});

test('a request that ends in produced tokens is continued after them', async t => {
  const engine = await startEngine();
  const soFar = expectedCompletion(PROMPT, 2);
  const chat = await ask(engine, 'attempt-1', {
    messages: [...MESSAGES, {role: 'assistant', content: soFar}],
  });
  t.is(soFar + chat.text, expectedCompletion(PROMPT, 5));
  const start = 'Patch a tent';
  const text = await streamCompletion({
    url: engine.url,
    path: '/v1/completions',
    body: {prompt: start + expectedCompletion(start, 2), max_tokens: 3},
  });
  t.is(expectedCompletion(start, 2) + text.text, expectedCompletion(start, 5));
  await engine.stop();
});

test('a broken stream can be resumed from an offset', async t => {
  const engine = await startEngine();
  const abort = new AbortController();
  let tokens = 0;
  const broken = await streamCompletion({
    url: engine.url,
    headers: {'x-request-id': 'attempt-1'},
    body: {model: 'repair', max_tokens: 40, messages: MESSAGES},
    signal: abort.signal,
    onToken: () => {
      tokens += 1;
      if (tokens === 2) abort.abort();
    },
  });
  t.false(broken.isComplete);
  while (engine.batch.running > 0) await new Promise(setImmediate);
  const resumed = await streamCompletion({
    url: engine.url,
    path: '/v1/resume',
    body: {requestId: 'attempt-1', offset: 2},
  });
  t.true(resumed.isComplete);
  t.is(
    expectedCompletion(PROMPT, 2) + resumed.text,
    expectedCompletion(PROMPT, 40),
  );
  t.is(engine.counters.wastedTokens, 0);
  await engine.stop();
});

test('a cancelled request stops and its tokens count as wasted', async t => {
  const engine = await startEngine();
  const answer = ask(engine, 'attempt-1', {max_tokens: 100_000});
  while (engine.counters.tokensProduced < 3) await new Promise(setImmediate);
  await got.post(`${engine.url}/v1/cancel`, {json: {requestId: 'attempt-1'}});
  t.false((await answer).isComplete);
  t.is(engine.batch.running, 0);
  t.is(engine.counters.wastedTokens, engine.counters.tokensProduced);
  await engine.stop();
});

test('waiting requests run in order of their priority', async t => {
  const engine = await startEngine({batch: {maxBatch: 1, betweenTokensMs: 2}});
  const finished: string[] = [];
  const call = async (id: string, priority: string) => {
    await streamCompletion({
      url: engine.url,
      headers: {'x-request-id': id, 'x-request-priority': priority},
      body: {model: 'repair', max_tokens: 20, messages: MESSAGES},
    });
    finished.push(id);
  };
  const first = call('first', '0');
  while (engine.batch.running < 1) await new Promise(setImmediate);
  const low = call('low', '5');
  while (engine.batch.waiting < 1) await new Promise(setImmediate);
  const high = call('high', '1');
  await Promise.all([first, low, high]);
  t.deepEqual(finished, ['first', 'high', 'low']);
  await engine.stop();
});

test('a poison request resets every stream, and the engine restarts', async t => {
  const engine = await startEngine({restartAfterMs: 1});
  const innocent = ask(engine, 'innocent', {max_tokens: 100_000});
  while (engine.counters.tokensProduced < 1) await new Promise(setImmediate);
  const messages = [{role: 'user', content: `x ${DEFAULT_POISON_MARK}`}];
  const poison = await ask(engine, 'poison', {messages, max_tokens: 50});
  t.is(poison.failure, 'ECONNRESET');
  t.is((await innocent).failure, 'ECONNRESET');
  t.is(engine.counters.crashes, 1);
  let again = await ask(engine, 'again');
  while (again.failure === 'ECONNREFUSED') again = await ask(engine, 'again');
  t.true(again.isComplete);
  await engine.stop();
});

test('a crossed answer carries the id and text of another request', async t => {
  const engine = await startEngine();
  await ask(engine, 'attempt-1');
  engine.control({crossNext: 1});
  const messages = [{role: 'user', content: 'Mend a stove'}];
  const crossed = await ask(engine, 'attempt-2', {messages});
  t.is(crossed.requestId, 'attempt-1');
  t.is(crossed.text, expectedCompletion(PROMPT, 3));
  await engine.stop();
});

test('an order with an old fencing token is refused only if tokens are checked', async t => {
  const engine = await startEngine();
  const order = (id: string, fencingToken: number) =>
    got.post(`${engine.url}/v1/orders`, {
      json: {id, fencingToken, action: 'load_model', model: 'repair'},
      throwHttpErrors: false,
    });
  t.is((await order('o1', 2)).statusCode, 200);
  t.is((await order('o2', 1)).statusCode, 409);
  engine.control({checksFencing: false});
  t.is((await order('o3', 1)).statusCode, 200);
  await engine.stop();
});

test('an invalid control call is answered 400', async t => {
  const engine = await startEngine();
  const answer = await got.post(`${engine.url}/control`, {
    json: {slowfactor: 3},
    throwHttpErrors: false,
  });
  t.is(answer.statusCode, 400);
  await engine.stop();
});
