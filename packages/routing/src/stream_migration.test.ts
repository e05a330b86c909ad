import test from 'ava';
import {
  brandAs,
  type EndpointId,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import {
  DEFAULT_DRAIN_MS,
  FINISH_MARGIN_MS,
  MAX_ARRIVING,
  MAX_DEPARTING,
  MOVE_MS,
  planMoves,
  type EngineDeparture,
  type MigratableStream,
  type MigrationTarget,
} from './stream_migration.js';
import {makeEndpoint} from './test_support/fixtures.js';

const V1 = {softwareVersion: brandAs<SoftwareVersion>('v1')};
const SOURCE = makeEndpoint('source', {...V1, isLeaving: true});
const TOKENS_PER_EVENT = 3;

function makeStream(
  id: string,
  changes: Partial<MigratableStream> = {},
): MigratableStream {
  return {
    requestId: brandAs<RequestId>(id),
    urgencyRank: 0,
    isResumable: false,
    events: 5,
    expectedOutputTokens: 300,
    maxOutputTokens: 600,
    paceMs: 100,
    deadlineLeftMs: 20_000,
    failedTargets: new Set(),
    ...changes,
  };
}

function makeTarget(
  id: string,
  changes: Partial<MigrationTarget> = {},
): MigrationTarget {
  const endpoint = makeEndpoint(id, V1);
  return {endpoint, freePlaces: 20, arriving: 0, ...changes};
}

function makeDeparture(
  changes: Partial<EngineDeparture<MigratableStream>> = {},
): EngineDeparture<MigratableStream> {
  return {
    source: SOURCE,
    streams: [makeStream('one')],
    departing: 0,
    leavesInMs: 2700,
    noticedAgoMs: 0,
    targets: [makeTarget('other')],
    tokensPerEvent: TOKENS_PER_EVENT,
    ...changes,
  };
}

function idsOf(departure: EngineDeparture<MigratableStream>): string[] {
  return planMoves(departure).map(({stream}) => stream.requestId);
}

test('only streams that would be cut are moved', t => {
  // Guards against copies that take the link from streams that need it.
  const short = makeStream('short', {expectedOutputTokens: 60});
  const long = makeStream('long');
  const resumable = makeStream('resumable', {isResumable: true});
  const unbegun = makeStream('unbegun', {events: 0, paceMs: undefined});
  const overdue = makeStream('overdue', {deadlineLeftMs: 2000});
  const streams = [short, long, resumable, unbegun, overdue];
  t.deepEqual(idsOf(makeDeparture({streams})), ['long']);
});

test('the most urgent streams go first, then those with the most work left', t => {
  // Guards against an urgent stream that is cut while others are copied.
  const streams = [
    makeStream('later', {urgencyRank: 1, expectedOutputTokens: 600}),
    makeStream('short', {expectedOutputTokens: 200}),
    makeStream('long', {expectedOutputTokens: 400}),
  ];
  const targets = ['a', 'b', 'c'].map(id => makeTarget(id));
  t.deepEqual(idsOf(makeDeparture({streams, targets})), ['long', 'short']);
  t.deepEqual(idsOf(makeDeparture({streams, targets, departing: 1})), ['long']);
  t.deepEqual(idsOf(makeDeparture({streams, departing: MAX_DEPARTING})), []);
});

test('no move begins that could not be finished before the engine goes', t => {
  // Guards against runs that are stopped at an engine that is gone before the
  // copy is complete.
  const enough = FINISH_MARGIN_MS + MOVE_MS;
  t.is(idsOf(makeDeparture({leavesInMs: enough})).length, 1);
  t.is(idsOf(makeDeparture({leavesInMs: enough - 1})).length, 0);
  const [move] = planMoves(makeDeparture());
  t.is(move.finishInMs, 2700 - FINISH_MARGIN_MS);
});

test('only engines that can take the copy and have room get one', t => {
  // Guards against streams in which two software versions are mixed, and against
  // requests at engines that leave as well or are full.
  const v2 = {softwareVersion: brandAs<SoftwareVersion>('v2')};
  const other = {...V1, service: brandAs<ServiceId>('other')};
  const unfit = [
    {...makeTarget('a'), endpoint: makeEndpoint('a', v2)},
    {...makeTarget('b'), endpoint: makeEndpoint('b', other)},
    {...makeTarget('c'), endpoint: makeEndpoint('c', {...V1, isLeaving: true})},
    {...makeTarget('d'), endpoint: SOURCE},
    makeTarget('e', {freePlaces: 0}),
    makeTarget('f', {arriving: MAX_ARRIVING}),
  ];
  t.deepEqual(planMoves(makeDeparture({targets: unfit})), []);
  const unstated = {softwareVersion: undefined};
  const source = makeEndpoint('source', unstated);
  const same = {...makeTarget('g'), endpoint: makeEndpoint('g', unstated)};
  t.deepEqual(planMoves(makeDeparture({source, targets: [same]})), []);
});

test('a stream is not copied again to an engine that had no room for it', t => {
  const failedTargets = new Set([brandAs<EndpointId>('a')]);
  const streams = [makeStream('one', {failedTargets})];
  const targets = [makeTarget('a'), makeTarget('b')];
  const moves = planMoves(makeDeparture({streams, targets}));
  t.deepEqual(
    moves.map(({target}) => String(target.id)),
    ['b'],
  );
});

test('while it is not known when an engine goes only streams that surely outlast it are moved', t => {
  // Guards against copies at planned leavings, which usually wait for streams.
  const unknown = {leavesInMs: undefined};
  const lasting = makeStream('lasting', {expectedOutputTokens: 200});
  t.deepEqual(idsOf(makeDeparture({...unknown, streams: [lasting]})), [
    'lasting',
  ]);
  const ending = makeStream('ending', {expectedOutputTokens: 100});
  t.deepEqual(idsOf(makeDeparture({...unknown, streams: [ending]})), []);
  const unstated = makeStream('unstated', {expectedOutputTokens: undefined});
  t.deepEqual(idsOf(makeDeparture({...unknown, streams: [unstated]})), []);
  t.is(idsOf(makeDeparture({streams: [unstated]})).length, 1);
  const noticedAgoMs = DEFAULT_DRAIN_MS - FINISH_MARGIN_MS;
  const late = makeDeparture({...unknown, noticedAgoMs, streams: [lasting]});
  t.deepEqual(idsOf(late), []);
});

test('load pattern: 14 streams at each of 15 engines that are taken away in 2.7 s', t => {
  // Guards against streams that are cut, copies that queue at one engine, and
  // copies of streams that end in time. One instance has all the streams, which
  // is the most that one can have. A move takes 500 ms, with both copies.
  const moveMs = 500;
  const engines = Array.from({length: 15}, (_, number) => {
    const source = makeEndpoint(`going-${number}`, {...V1, isLeaving: true});
    const streams = Array.from({length: 14}, (_unused, index) =>
      makeStream(`${number}/${index}`, {
        urgencyRank: index % 3,
        // Half of them have up to 1.4 s left, the others 3 to 8 s.
        expectedOutputTokens:
          TOKENS_PER_EVENT *
          (5 + (index < 7 ? 2 * index : 30 + 7 * (index - 7))),
      }),
    );
    return {source, waiting: streams, movedIds: [] as string[]};
  });
  const places = new Map<string, number>();
  const arrivals = new Map<string, number>();
  const running: Array<{endsAtMs: number; source: string; target: string}> = [];
  let worst = 0;
  for (let nowMs = 0; nowMs < 2700; nowMs += 50) {
    for (const move of running.splice(0)) {
      if (move.endsAtMs > nowMs) running.push(move);
    }
    for (const engine of engines) {
      const {source} = engine;
      const targets = Array.from({length: 27}, (_, number) => {
        const id = `staying-${number}`;
        const arriving = running.filter(({target}) => target === id).length;
        return makeTarget(id, {
          freePlaces: 20 - (places.get(id) ?? 0),
          arriving,
        });
      });
      const departing = running.filter(each => each.source === source.id);
      const moves = planMoves({
        source,
        streams: engine.waiting.map(each => ({
          ...each,
          events: each.events + nowMs / 100,
        })),
        departing: departing.length,
        leavesInMs: 2700 - nowMs,
        noticedAgoMs: nowMs,
        targets,
        tokensPerEvent: TOKENS_PER_EVENT,
      });
      for (const {stream, target} of moves) {
        engine.waiting = engine.waiting.filter(
          ({requestId}) => requestId !== stream.requestId,
        );
        engine.movedIds.push(stream.requestId);
        places.set(target.id, (places.get(target.id) ?? 0) + 1);
        arrivals.set(target.id, (arrivals.get(target.id) ?? 0) + 1);
        const endsAtMs = nowMs + moveMs;
        running.push({endsAtMs, source: source.id, target: target.id});
        worst = Math.max(worst, endsAtMs);
      }
      const now = running.filter(each => each.source === source.id).length;
      t.true(now <= MAX_DEPARTING);
    }
  }
  t.true(worst <= 2700 - FINISH_MARGIN_MS + MOVE_MS, `last ends at ${worst}`);
  for (const {movedIds, waiting} of engines) {
    t.is(movedIds.length, 7, 'all that would be cut');
    t.true(waiting.every(each => Number(each.expectedOutputTokens) < 60));
  }
  t.true(Math.max(...arrivals.values()) <= 12, 'spread over the engines');
});
