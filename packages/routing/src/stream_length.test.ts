import test from 'ava';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import {expectEventsLeft, TokensPerEvent} from './stream_length.js';

const SERVICE = brandAs<ServiceId>('repair');

test('expects what the estimate leaves, within the limit', t => {
  const stated = {expectedOutputTokens: 100, maxOutputTokens: 400};
  t.is(expectEventsLeft({...stated, events: 5}, 5), 15);
  // Beyond its estimate it is taken to go on for a quarter of its length.
  t.is(expectEventsLeft({...stated, events: 40}, 5), 10);
  t.is(expectEventsLeft({...stated, events: 79}, 5), 1);
  t.is(expectEventsLeft({...stated, events: 90}, 5), 0);
  const unstated = {expectedOutputTokens: undefined, maxOutputTokens: 400};
  t.is(expectEventsLeft({...unstated, events: 10}, 5), 30);
});

test('learns the tokens of an event from whole streams', t => {
  const tokens = new TokensPerEvent();
  const stream = {expectedOutputTokens: 90, maxOutputTokens: 200, events: 30};
  for (let count = 0; count < 9; count += 1) tokens.note(SERVICE, stream);
  t.is(tokens.of(SERVICE), 4);
  tokens.note(SERVICE, {...stream, expectedOutputTokens: undefined});
  t.is(tokens.of(SERVICE), 4);
  tokens.note(SERVICE, stream);
  t.true(Math.abs(tokens.of(SERVICE) - 3) < 0.001);
});
