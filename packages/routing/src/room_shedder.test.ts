import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {RefusedSessions} from './refused_sessions.js';
import {RoomPressure} from './room_pressure.js';
import {RoomShedder, retryAfterMs} from './room_shedder.js';
import {
  learnRate,
  makeArrived,
  makeLongPrompt,
  makeRoomFixture,
  MEDIUM,
  NOW_MS,
  reportLoads,
  type RoomFixture,
} from './test_support/room_fixtures.js';

function makeShedder({room}: RoomFixture): RoomShedder {
  const random = createSeededRandom(5);
  return new RoomShedder({
    pressure: new RoomPressure({room}),
    sessions: new RefusedSessions({random}),
    random,
  });
}

/** Number of requests of different sessions that are refused, of 200. */
function countRefused(
  shedder: RoomShedder,
  bench: RoomFixture,
  changes: Parameters<typeof makeArrived>[1] = {},
): number {
  let refused = 0;
  for (let index = 0; index < 200; index++) {
    const prompt = makeLongPrompt(`session-${index}`);
    const request = makeArrived(bench.engines, {prompt, ...changes});
    if (shedder.decide(request).kind === 'refuse') refused += 1;
  }
  return refused;
}

test('nothing is refused while an engine has free room', t => {
  // Guards against refusals beside an idle engine.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 100, waiting: 40});
  const [{id}] = bench.engines;
  const idle = {running: 0, waiting: 0, capacity: 128};
  bench.monitor.noteReportedLoad(id, idle, NOW_MS - 500);
  t.is(countRefused(makeShedder(bench), bench), 0);
});

test('nothing is refused on unknown or stale loads, or before the rate is known', t => {
  // Guards against refusals while relays are cut off or an instance starts.
  const bench = makeRoomFixture();
  const shedder = makeShedder(bench);
  reportLoads(bench, {running: 30, waiting: 40}, NOW_MS - 500);
  t.is(countRefused(shedder, bench), 0, 'no rate');
  learnRate(bench);
  t.is(countRefused(shedder, bench, {nowMs: NOW_MS + 1600}), 0, 'stale');
  const other = makeRoomFixture();
  learnRate(other);
  t.is(countRefused(makeShedder(other), other), 0, 'unknown');
});

test('a request is late rather than refused while its caller waits for it', t => {
  // Guards against refusing what is worth most of its value when late.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 30});
  const shedder = makeShedder(bench);
  t.true(bench.room.waitMs(bench.engines[0], NOW_MS) > 2500);
  t.is(countRefused(shedder, bench), 0);
});

test('a request is refused when no engine can begin it in time', t => {
  // Guards against streams that are begun when their callers have left.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 30, waiting: 100});
  const shedder = makeShedder(bench);
  t.is(countRefused(shedder, bench), 200);
  const decision = shedder.decide(makeArrived(bench.engines));
  t.like(decision, {kind: 'refuse', reason: 'begins_too_late'});
});

test('a session that was refused twice gets in though room is short', t => {
  // Guards against sessions that are never served while a burst lasts.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 30, waiting: 100});
  const shedder = makeShedder(bench);
  const kinds = [0, 1, 2].map(
    index =>
      shedder.decide(makeArrived(bench.engines, {nowMs: NOW_MS + index * 300}))
        .kind,
  );
  t.deepEqual(kinds, ['refuse', 'refuse', 'admit']);
});

test('the most urgent rank is never refused', t => {
  // Guards against breaking the order of urgency for want of room.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 30, waiting: 100});
  t.is(countRefused(makeShedder(bench), bench, {urgencyRank: 0}), 0);
});

test('less urgent requests are refused before more urgent ones are late', t => {
  // Guards against long prompts that make requests beside them late: medium
  // prompts have a target of 800 ms.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 12});
  const shedder = makeShedder(bench);
  const waitMs = bench.room.waitMs(bench.engines[0], NOW_MS);
  t.true(waitMs > 800 && waitMs < 8000);
  t.is(countRefused(shedder, bench), 0, 'no urgent requests');
  const urgent = {route: MEDIUM, urgencyRank: 1};
  t.is(countRefused(shedder, bench, urgent), 0);
  t.true(countRefused(shedder, bench) > 100);
  t.is(countRefused(shedder, bench, urgent), 0);
});

test('of two requests of a rank, the one with less time left is refused', t => {
  // Guards against beginning what is given up before its end.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 30});
  const shedder = makeShedder(bench);
  const changes = {endsAtMs: NOW_MS + 3000};
  t.is(countRefused(shedder, bench, changes), 200);
  t.is(countRefused(shedder, bench), 0);
});

test('callers return spread out, within a third of the time that they have', t => {
  // Guards against a second burst of all refused callers at once, and against
  // callers who give up because they would have to wait for too long.
  const request = makeArrived([]);
  const random = createSeededRandom(3);
  for (const drainMs of [10, 800, 3000, 60_000]) {
    const delays = Array.from({length: 300}, () =>
      retryAfterMs(request, drainMs, random()),
    );
    const [min, max] = [Math.min(...delays), Math.max(...delays)];
    t.true(max <= 5000 && min > 0, `${drainMs}`);
    t.true(max > 1.4 * min, `${drainMs}`);
    if (drainMs < 2500) t.true(min >= drainMs, `${drainMs}`);
  }
});

test('instances with the same loads decide alike', t => {
  // Guards against instances that refuse what others admit. Their own requests
  // differ, and their estimates with them.
  const shares = [1, 2, 3].map(seed => {
    const bench = makeRoomFixture();
    learnRate(bench, 40 + 8 * seed);
    reportLoads(bench, {running: 12});
    const shedder = makeShedder(bench);
    countRefused(shedder, bench, {route: MEDIUM, urgencyRank: 1});
    return countRefused(shedder, bench) / 200;
  });
  t.true(Math.max(...shares) - Math.min(...shares) < 0.15, shares.join(' '));
});
