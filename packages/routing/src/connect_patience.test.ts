import test from 'ava';
import {ConnectPatience} from './connect_patience.js';

function learnt(...tookMs: number[]): number {
  const patience = new ConnectPatience();
  for (const each of tookMs) patience.note(each);
  return patience.timeoutMs;
}

test('before the first connection the longest time is waited', t => {
  t.is(learnt(), 350);
});

test('on quick links little is waited', t => {
  // Every request that is sent behind a cut waits out the whole timeout. At a
  // third of a second short requests come too late by that alone.
  const quick = Array.from({length: 50}, (_, index) => 2 + (index % 4));
  t.is(learnt(...quick), 100);
});

test('a slow machine waits longer, within bounds', t => {
  const slow = Array.from({length: 50}, (_, index) => 60 + (index % 2) * 60);
  t.true(learnt(...slow) > 150);
  t.is(learnt(900, 900, 900), 350);
});
