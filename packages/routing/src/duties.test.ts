import test from 'ava';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import {AgreedClock} from './agreed_clock.js';
import {RefusalDelay} from './refusal_delay.js';
import {SuspensionDetector} from './suspension_detector.js';
import {sumCounts, UsageWindows, windowAt} from './usage_windows.js';

test('instances whose times of day differ share one time', t => {
  // Guards against usage in the wrong window, which makes two bills wrong: the
  // time of day of one machine jumps by two seconds.
  const right = new AgreedClock(0, 1_000_000);
  const wrong = new AgreedClock(0, 1_002_400);
  const reading = {storeMs: 500, sentAtMs: 10, receivedAtMs: 14};
  right.noteReading(reading);
  wrong.noteReading(reading);
  const tieMs = right.proposeTie()!;
  right.tie(tieMs);
  wrong.tie(tieMs);
  t.is(right.epochAt(100), wrong.epochAt(100));
  t.true(Math.abs(right.epochAt(100) - 1_000_100) < 5);
});

test('the reading with the shortest round trip counts', t => {
  const clock = new AgreedClock(0, 0);
  clock.noteReading({storeMs: 102, sentAtMs: 0, receivedAtMs: 4});
  clock.noteReading({storeMs: 900, sentAtMs: 10, receivedAtMs: 510});
  clock.tie(0);
  t.is(clock.epochAt(10), 110);
});

test('a jump of the time of day shows a suspension', t => {
  const detector = new SuspensionDetector(0, 1000);
  t.false(detector.hasJumped(5000, 6010));
  t.true(detector.hasJumped(5001, 9000));
  t.false(detector.hasJumped(5002, 9001));
});

test('counts of windows add up over instances', t => {
  const shop = brandAs<ClientAccountId>('shop');
  const one = new UsageWindows(5000);
  const two = new UsageWindows(5000);
  one.count(shop, 12_000);
  one.count(shop, 14_999);
  one.count(shop, 15_000);
  two.count(shop, 10_000);
  const window = windowAt(12_300, 5000);
  t.is(sumCounts([one.read(window), two.read(window)]).get(shop), 3);
});

test('the more requests are refused, the longer is the delay of the next', t => {
  const delay = new RefusalDelay({minMs: 100, maxMs: 3000});
  for (let count = 0; count < 20; count++) delay.noteServed(0);
  const first = delay.adviseMs(0);
  let last = first;
  for (let count = 0; count < 30; count++) last = delay.adviseMs(0);
  t.true(last > 2 * first);
  t.true(last <= 3000);
});
