import test from 'ava';
import got from 'got';
import {expectedCompletion} from './completion.js';
import {EngineStandIn} from './engine_stand_in.js';

interface Chunk {
  readonly id: string;
  readonly choices: ReadonlyArray<{delta: {content: string}}>;
  readonly usage?: {readonly completion_tokens: number};
}

function parseEvents(body: string): Chunk[] {
  return body
    .split('\n\n')
    .filter(event => event !== '' && event !== 'data: [DONE]')
    .map(event => JSON.parse(event.slice('data: '.length)) as Chunk);
}

function textOfChunks(chunks: readonly Chunk[]): string {
  return chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').join('');
}

test('a stream has one token a chunk, its id, usage and an end', async t => {
  const engine = new EngineStandIn();
  await engine.start();
  const messages = [{role: 'user', content: 'Patch a tent'}];
  const answer = await got.post(`${engine.url}/v1/chat/completions`, {
    headers: {'x-request-id': 'attempt-1'},
    json: {model: 'repair', stream: true, max_tokens: 3, messages},
  });
  t.is(answer.headers['x-request-id'], 'attempt-1');
  t.true(answer.body.endsWith('data: [DONE]\n\n'));
  const chunks = parseEvents(answer.body);
  t.true(chunks.every(chunk => chunk.id === 'attempt-1'));
  t.is(chunks.length, 4);
  t.is(chunks[3].usage?.completion_tokens, 3);
  t.is(textOfChunks(chunks), expectedCompletion('user: Patch a tent', 3));
  await engine.stop();
});

test('a request that ends in produced tokens is continued after them', async t => {
  const engine = new EngineStandIn();
  await engine.start();
  const whole = expectedCompletion('user: Patch a tent', 5);
  const soFar = expectedCompletion('user: Patch a tent', 2);
  const messages = [
    {role: 'user', content: 'Patch a tent'},
    {role: 'assistant', content: soFar},
  ];
  const answer = await got.post(`${engine.url}/v1/chat/completions`, {
    json: {model: 'repair', stream: true, max_tokens: 3, messages},
  });
  t.is(soFar + textOfChunks(parseEvents(answer.body)), whole);
  await engine.stop();
});
