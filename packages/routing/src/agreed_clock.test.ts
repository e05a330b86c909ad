import test from 'ava';
import {AgreedClock} from './agreed_clock.js';

const DAY_MS = 86_400_000;

test('a clock that runs slower than that of the store is corrected', t => {
  // Guards against usage in the window before or after, after days of running.
  const clock = new AgreedClock(0, 0);
  clock.tie(0);
  clock.noteReading({storeMs: 4, sentAtMs: 0, receivedAtMs: 8});
  const slowerByMs = DAY_MS * 50e-6;
  clock.noteReading({
    storeMs: DAY_MS + slowerByMs + 6,
    sentAtMs: DAY_MS,
    receivedAtMs: DAY_MS + 12,
  });
  const offMs = clock.epochAt(DAY_MS) - (DAY_MS + slowerByMs);
  t.true(Math.abs(offMs) <= 12, `${offMs}`);
});

test('a reading with a longer round trip soon after a better one is ignored', t => {
  const clock = new AgreedClock(0, 0);
  clock.tie(0);
  clock.noteReading({storeMs: 4, sentAtMs: 0, receivedAtMs: 8});
  clock.noteReading({storeMs: 1500, sentAtMs: 1000, receivedAtMs: 2000});
  t.is(clock.epochAt(3000), 3000);
});
