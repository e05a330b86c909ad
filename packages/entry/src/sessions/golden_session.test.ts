import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {SessionTranscript} from './test_transcript.js';
import {account, OTHER_KEY, TestWorld, waitUntil} from './test_world.js';

const GOLDEN = fileURLToPath(
  new URL('../../src/sessions/session.golden', import.meta.url),
);

test('the transcript of a whole session matches the recorded one', async t => {
  const world = await TestWorld.start();
  t.teardown(() => world.close());
  const transcript = new SessionTranscript();
  const note = transcript.note.bind(transcript);
  note('streamed chat', await world.chat(0, 'Is the zip covered?', STREAMED));
  note('whole chat', await world.chat(0, 'Is the pole covered?'));
  note('booking', await world.book(0, {tent: 7}, 'booking-7'));
  note('the same booking again', await world.book(0, {tent: 7}, 'booking-7'));
  note(
    'another one under its key',
    await world.book(0, {tent: 8}, 'booking-7'),
  );
  note('stock lookup', await world.call(0, '/services/booking/stock/7'));
  note('unknown key', await world.chat(0, 'hello', {key: 'sk-unknown'}));
  note('class not allowed', await world.chat(0, 'hello', FORBIDDEN_CLASS));
  note('unknown model', await world.call(0, '/v1/completions', UNKNOWN_MODEL));
  note('broken JSON', await world.call(0, '/v1/completions', {body: '{"mod'}));
  note('too large', await world.call(0, '/v1/completions', LARGE_BODY));
  note('wrong ticket', await world.submit(WRONG_CHANGES));
  note('key withdrawn', await world.submit([account('other')]));
  await waitUntil(
    async () => (await world.chat(0, 'x', {key: OTHER_KEY})).status === 401,
  );
  note('after that', await world.chat(0, 'hello', {key: OTHER_KEY}));
  const exit = await world.entries[0].process.terminate();
  transcript.noteText('graceful stop', `exit code ${exit.code}`);
  const text = transcript.read();
  if (process.env.UPDATE_GOLDEN !== undefined || !existsSync(GOLDEN)) {
    writeFileSync(GOLDEN, text);
  }
  t.is(text, readFileSync(GOLDEN, 'utf8'));
});

const STREAMED = {stream: true, tokens: 3};
const FORBIDDEN_CLASS = {headers: {'x-request-class': 'platinum'}};
const UNKNOWN_MODEL = {json: {model: 'unknown', prompt: 'hello'}};
const LARGE_BODY = {json: {model: 'repair', prompt: 'x'.repeat(2_000_000)}};
const WRONG_CHANGES = [
  {kind: 'request_class', id: 'gold', state: {id: 'silver', tier: -1}},
  {kind: 'model', id: 'other', state: {id: 'other', colour: 'red'}},
];
