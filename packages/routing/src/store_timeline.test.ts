import test from 'ava';
import {StoreTimeline} from './store_timeline.js';

/** The store's clock is ahead of ours by this. */
const AHEAD_MS = 50_000;

function answered(timeline: StoreTimeline, sentAtMs: number, wayMs = 5): void {
  const storeMs = sentAtMs + wayMs + AHEAD_MS;
  timeline.note({storeMs, sentAtMs, receivedAtMs: sentAtMs + 2 * wayMs});
}

test('nothing is dated before the store has answered', t => {
  t.is(new StoreTimeline().dateOf(AHEAD_MS, 0), undefined);
});

test('an answer is dated by when it was made, not by when it comes', t => {
  // Guards against an old state of the store that is taken for the current one.
  const timeline = new StoreTimeline();
  answered(timeline, 1000);
  const dateMs = timeline.dateOf(AHEAD_MS + 2000, 4000)!;
  t.true(dateMs <= 2000, `${dateMs}`);
  t.true(dateMs > 1990, `${dateMs}`);
});

test('answers that took long make no date later', t => {
  const timeline = new StoreTimeline();
  answered(timeline, 1000);
  answered(timeline, 1500, 400);
  t.true(timeline.dateOf(AHEAD_MS + 2000, 2500)! <= 2000);
});

test('a date is no later than it was though one clock runs slower', t => {
  // Guards against changes unseen by an instance that has run for days.
  const timeline = new StoreTimeline();
  answered(timeline, 0);
  const dayMs = 86_400_000;
  const slowerByMs = dayMs * 50e-6;
  const dateMs = timeline.dateOf(AHEAD_MS + dayMs, dayMs)!;
  t.true(dateMs <= dayMs - slowerByMs, `${dayMs - dateMs}`);
});

test('a store whose clock has jumped ahead gives no dates until it answers', t => {
  // Guards against a state that counts as current for the length of the jump.
  const timeline = new StoreTimeline();
  answered(timeline, 1000);
  const jumpedMs = AHEAD_MS + 60_000;
  t.is(timeline.dateOf(jumpedMs + 2000, 2000), undefined);
  timeline.note({
    storeMs: jumpedMs + 3000,
    sentAtMs: 3000,
    receivedAtMs: 3005,
  });
  t.true(timeline.dateOf(jumpedMs + 3500, 4000)! <= 3500);
  t.true(timeline.dateOf(jumpedMs + 3500, 4000)! > 3490);
});

test('a store whose clock was set back is dated by its next answer', t => {
  const timeline = new StoreTimeline();
  answered(timeline, 1000);
  timeline.note({storeMs: 10, sentAtMs: 2000, receivedAtMs: 2004});
  const dateMs = timeline.dateOf(510, 2600)!;
  t.true(dateMs <= 2500 && dateMs > 2490, `${dateMs}`);
});

test('the clock of the store is never said to show more than it does', t => {
  // Guards against reports that look newer than they are.
  const timeline = new StoreTimeline();
  t.is(timeline.storeClockAt(0), undefined);
  answered(timeline, 1000);
  answered(timeline, 1500, 400);
  const storeMs = timeline.storeClockAt(3000)!;
  t.true(storeMs <= AHEAD_MS + 3000 && storeMs > AHEAD_MS + 2990, `${storeMs}`);
  timeline.note({storeMs: 10, sentAtMs: 4000, receivedAtMs: 4004});
  t.true(timeline.storeClockAt(5000)! <= 1010);
});

test('the clock of an older era dates nothing once the store was set back', t => {
  // Guards against a copy of the store whose clock is a little ahead.
  const timeline = new StoreTimeline();
  answered(timeline, 1000);
  const aheadMs = AHEAD_MS + 700;
  timeline.note({
    storeMs: aheadMs + 2005,
    era: 1,
    sentAtMs: 2000,
    receivedAtMs: 2010,
  });
  const dateMs = timeline.dateOf(aheadMs + 3000, 4000)!;
  t.true(dateMs <= 3000 && dateMs > 2990, `${dateMs}`);
});
