import test from 'ava';
import {shouldMove, type StreamProgress} from './evacuation.js';
import {makePrompt} from './test_support/fixtures.js';

function progress(changes: Partial<StreamProgress>): StreamProgress {
  const prompt = {...makePrompt('a', 1000, 100), expectedOutputTokens: 120};
  return {
    prompt,
    tokensPerEvent: 3,
    events: 10,
    sinceFirstMs: 900,
    ...changes,
  };
}

test('a stream that will outlast its engine moves, a short one stays', t => {
  // All cheap engines of a data centre are taken away two seconds after the
  // notice. A quote that is half read out then breaks off, and may not be asked
  // for again.
  t.true(shouldMove(progress({}), 2400));
  t.false(shouldMove(progress({events: 32}), 2400));
  t.false(shouldMove(progress({}), 10_000));
});

test('past its estimate a stream is taken to go on for a while', t => {
  t.true(shouldMove(progress({events: 60, sinceFirstMs: 6000}), 2400));
});
