import test from 'ava';
import {ConnectTimeout} from './connect_timeout.js';

function timeoutAfter(...tookMs: number[]): number {
  const timeout = new ConnectTimeout();
  for (const each of tookMs) timeout.note(each);
  return timeout.timeoutMs;
}

test('before the first connection the timeout is the maximum', t => {
  t.is(timeoutAfter(), 350);
});

test('on fast links the timeout is the minimum', t => {
  // Every request to a data centre that is cut off waits for the whole timeout.
  // A third of a second alone makes short requests late.
  const quick = Array.from({length: 50}, (_, index) => 2 + (index % 4));
  t.is(timeoutAfter(...quick), 100);
});

test('slow handshakes raise the timeout up to the maximum', t => {
  const slow = Array.from({length: 50}, (_, index) => 60 + (index % 2) * 60);
  t.true(timeoutAfter(...slow) > 150);
  t.is(timeoutAfter(900, 900, 900), 350);
});
