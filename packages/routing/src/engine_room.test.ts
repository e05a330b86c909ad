import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {brandAs, type PromptPartId} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {LoadControls} from './load_controls.js';
import type {LoadCorrection} from './load_correction.js';
import type {PlacementRequest} from './placement.js';
import {PromptPlacement} from './prompt_placement.js';
import {AKL_A} from './test_support/fixtures.js';
import {
  ANSWERED,
  learnRate,
  LONG,
  makeAttempt,
  makeLongPrompt,
  makeRoomFixture,
  MEMORY_TOKENS,
  NOW_MS,
  reportLoads,
  TOKENS_PER_MS,
} from './test_support/room_fixtures.js';

function placing(changes: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    route: LONG,
    prompt: makeLongPrompt(),
    dataCentre: AKL_A,
    excluded: new Set(),
    avoided: new Set(),
    nowMs: NOW_MS,
    ...changes,
  };
}

test('a shared part is held once, however many requests use it', t => {
  // Guards against taking engines for full whose requests share their text.
  const {room, engines} = makeRoomFixture();
  const [engine] = engines;
  for (let index = 0; index < 10; index++)
    room.noteSent(makeAttempt(engine, makeLongPrompt(), NOW_MS));
  t.is(room.readTokens(engine, NOW_MS)?.held, 13_300 + 10 * (3700 + 120));
});

test('what an attempt holds is free after its end, read or not', t => {
  // Guards against engines that fill up with requests that were cancelled.
  const {room, engines} = makeRoomFixture();
  const [engine] = engines;
  const read = makeAttempt(engine, makeLongPrompt('read'), NOW_MS);
  const cancelled = makeAttempt(engine, makeLongPrompt('left'), NOW_MS);
  room.noteSent(read);
  room.noteSent(cancelled);
  room.noteFirstEvent(read, NOW_MS + 300);
  room.noteFirstEvent(read, NOW_MS + 301);
  room.noteEnded(read, ANSWERED, NOW_MS + 900);
  room.noteEnded(cancelled, {...ANSWERED, isAnswered: false}, NOW_MS + 900);
  room.noteEnded(cancelled, ANSWERED, NOW_MS + 901);
  t.like(room.readTokens(engine, NOW_MS + 901), {held: 0, unread: 0});
});

test('an unread prompt of 17,000 tokens outweighs a dozen running requests', t => {
  // Guards against placement by count: in bursts of long prompts the slowest
  // fifth of the engines paused for 65 to 210 ms between events.
  const bench = makeRoomFixture();
  learnRate(bench);
  const {room, engines} = bench;
  room.noteSent(makeAttempt(engines[0], makeLongPrompt('unread'), NOW_MS));
  t.true(room.extraLoadOf(engines[0], NOW_MS) > 12);
  t.is(room.extraLoadOf(engines[1], NOW_MS), 0);
  t.true(room.loadPerRequest(engines[1], NOW_MS) > 12);
});

test('the rate of reading is learned from streams, in spite of queues', t => {
  // Guards against taking queues for slow engines, and refusing because of it.
  const bench = makeRoomFixture();
  const {room, engines} = bench;
  t.is(room.readMs(engines[0].service, LONG.id, makeLongPrompt()), 0);
  learnRate(bench);
  const before = room.readMs(engines[0].service, LONG.id, makeLongPrompt());
  for (let index = 0; index < 30; index++) {
    const attempt = makeAttempt(engines[0], makeLongPrompt(), NOW_MS);
    room.noteSent(attempt);
    room.noteFirstEvent(attempt, NOW_MS + 4000);
    room.noteEnded(attempt, ANSWERED, NOW_MS + 4500);
  }
  const after = room.readMs(engines[0].service, LONG.id, makeLongPrompt());
  t.true(before > 66 && before <= 17_000 / TOKENS_PER_MS + 1);
  t.true(after <= 17_000 / TOKENS_PER_MS + 1);
});

test('an engine has no room when its queue takes longer than the target', t => {
  // Guards against long queues at engines with free slots.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 8});
  t.true(bench.room.hasRoomFor(bench.engines[0], placing()));
  reportLoads(bench, {running: 30}, NOW_MS - 800);
  t.false(bench.room.hasRoomFor(bench.engines[0], placing()));
});

test('an engine has no room when its memory is full', t => {
  // Guards against engines that crash as their requests exceed their memory.
  const {room, engines} = makeRoomFixture();
  for (let index = 0; index < 34; index++)
    room.noteSent(makeAttempt(engines[0], makeLongPrompt(`${index}`), NOW_MS));
  t.true(room.hasMemoryFor(engines[0], makeLongPrompt('33'), NOW_MS));
  t.true(room.hasMemoryFor(engines[0], makeLongPrompt('more'), NOW_MS));
  room.noteSent(makeAttempt(engines[0], makeLongPrompt('34'), NOW_MS));
  t.false(room.hasMemoryFor(engines[0], makeLongPrompt('more'), NOW_MS));
  t.true(room.hasMemoryFor(engines[1], makeLongPrompt('more'), NOW_MS));
});

test('without loads of others only own requests count', t => {
  // Guards against taking engines for full whose load isn't known.
  const bench = makeRoomFixture();
  learnRate(bench);
  const {room, engines} = bench;
  t.like(room.readTokens(engines[0], NOW_MS), {unread: 0, isKnown: false});
  t.true(room.hasRoomFor(engines[0], placing()));
  room.noteSent(makeAttempt(engines[0], makeLongPrompt('own'), NOW_MS));
  t.true(room.readTokens(engines[0], NOW_MS)!.unread > 3700);
});

test('loads older than two seconds do not count', t => {
  // Guards against queues that have been read since they were reported.
  const bench = makeRoomFixture();
  learnRate(bench);
  reportLoads(bench, {running: 60, waiting: 20}, NOW_MS - 2100);
  t.like(bench.room.readTokens(bench.engines[0], NOW_MS), {
    held: 0,
    unread: 0,
    isKnown: false,
  });
});

test('an engine that restarts holds nothing', t => {
  // Guards against room that is never free again: requests in progress at the
  // restart end later, and must not be subtracted from the new account.
  const {room, engines} = makeRoomFixture();
  const [engine] = engines;
  const before = makeAttempt(engine, makeLongPrompt(), NOW_MS);
  room.noteSent(before);
  room.forget(engine.id);
  const after = makeAttempt(engine, makeLongPrompt('new'), NOW_MS);
  room.noteSent(after);
  const {held, unread} = room.readTokens(engine, NOW_MS)!;
  room.noteEnded(before, ANSWERED, NOW_MS + 5);
  t.like(room.readTokens(engine, NOW_MS), {held, unread});
  room.retain(new Set());
  t.is(room.readTokens(engine, NOW_MS)?.held, 0);
});

test('a wrong output estimate takes up a bounded share of the memory', t => {
  // Guards against callers who state huge outputs and fill engines on paper.
  const {room, engines} = makeRoomFixture();
  const prompt = makeLongPrompt('wrong', {
    maxOutputTokens: 1e9,
    expectedOutputTokens: 1e9,
  });
  room.noteSent(makeAttempt(engines[0], prompt, NOW_MS));
  const {held} = room.readTokens(engines[0], NOW_MS)!;
  t.true(held <= 17_000 + MEMORY_TOKENS / 32);
  t.true(room.hasRoomFor(engines[0], placing()));
});

test('made-up shared parts are remembered up to a bound', t => {
  // Guards against memory that grows with the parts that callers make up.
  const {room, engines} = makeRoomFixture();
  for (let index = 0; index < 1000; index++) {
    const attempt = makeAttempt(engines[0], makeLongPrompt(`${index}`), NOW_MS);
    room.noteSent(attempt);
    room.noteEnded(attempt, ANSWERED, NOW_MS);
  }
  t.is(room.readTokens(engines[0], NOW_MS)?.held, 0);
  const own = {id: brandAs<PromptPartId>('own'), tokens: 3700};
  const attempt = makeAttempt(
    engines[0],
    makeLongPrompt('999', {
      parts: [{id: brandAs<PromptPartId>('999'), tokens: 13_300}, own],
    }),
    NOW_MS,
  );
  room.noteSent(attempt);
  t.is(room.readTokens(engines[0], NOW_MS)?.unread, 3700);
});

test('without load controls requests are placed as before', t => {
  // Guards against room that changes a deployment that didn't ask for it.
  const choose = (correction: LoadCorrection | undefined): string[] => {
    const bench = makeRoomFixture();
    learnRate(bench);
    reportLoads(bench, {running: 20, waiting: 1});
    const placement = new PromptPlacement({
      monitor: bench.monitor,
      reach: new DataCentreReach(),
      demand: new DemandMeter(),
      recent: new DemandMeter(),
      controls: new LoadControls(),
      correction: correction && bench.room,
      random: createSeededRandom(4),
    });
    return Array.from({length: 100}, (_, index) => {
      const prompt = makeLongPrompt(`topic-${index}`);
      return placement.choose(bench.engines, placing({prompt}))!.endpoint.id;
    });
  };
  t.deepEqual(choose(makeRoomFixture().room), choose(undefined));
});
