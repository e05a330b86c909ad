import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {brandAs} from '@snipestage/types/ids.js';
import type {RouteId} from '../route.js';
import {makeRoute} from '../test_support/fixtures.js';
import {LONG, MEDIUM} from '../test_support/room_fixtures.js';
import {
  simulateRoom,
  type RoomResult,
  type RoomScenario,
  type TokenTraffic,
} from './room_simulation.js';

const SHORT = makeRoute({
  id: brandAs<RouteId>('short'),
  latencyTargetMs: 400,
  pauseTargetMs: 150,
  timeoutMs: 15_000,
});

/** Each simulation takes about ten seconds, more on a busy machine. */
const SIMULATION_TIMEOUT_MS = 240_000;

function describeTraffic(topics: number): readonly TokenTraffic[] {
  return [
    {
      route: SHORT,
      rank: 0,
      promptTokens: 1460,
      sharedTokens: 350,
      outputTokens: 171,
      topics: 40,
      requestsPerS: 57,
      burstPerS: 57,
    },
    {
      route: MEDIUM,
      rank: 1,
      promptTokens: 9200,
      sharedTokens: 6300,
      outputTokens: 51,
      topics: 60,
      requestsPerS: 22,
      burstPerS: 22,
    },
    {
      route: LONG,
      rank: 2,
      promptTokens: 17_000,
      sharedTokens: 13_300,
      outputTokens: 120,
      topics,
      requestsPerS: 66,
      burstPerS: 186,
    },
  ];
}

/** The uneven deployment in a burst at 2.8 times the usual rate. */
function simulateBurst(
  topics: number,
  changes: Partial<RoomScenario> = {},
): RoomResult {
  return simulateRoom({
    traffic: describeTraffic(topics),
    engines: 42,
    instances: 64,
    slots: 128,
    memoryTokens: 634_945,
    tokensPerMs: 56,
    stepMs: 6.5,
    burst: {fromMs: 8000, untilMs: 18_000},
    durationMs: 26_000,
    areControlsOn: true,
    random: createSeededRandom(1),
    ...changes,
  });
}

function sumRefusals({byRoute}: RoomResult): number {
  return byRoute.reduce((total, {refusals}) => total + refusals, 0);
}

test('load pattern: a burst of long prompts with empty caches', t => {
  t.timeout(SIMULATION_TIMEOUT_MS);
  // Guards against engines above their memory and against late streams of all
  // ranks: without controls the engines got 3.2 million tokens a second and
  // read 2.4 million.
  const before = simulateBurst(5000, {areControlsOn: false});
  const after = simulateBurst(5000);
  const [short, medium, long] = after.byRoute;
  const note = JSON.stringify({before, after});
  t.is(sumRefusals(before), 0);
  t.true(before.fullest > 1, note);
  t.true(after.fullest < 1, note);
  t.is(short.refusals, 0);
  t.true(medium.refusals < 0.02 * medium.asked, note);
  const shareOf = ({inTime, asked}: typeof long) => inTime / asked;
  t.true(shareOf(long) > shareOf(before.byRoute[2]) + 0.05, note);
  t.true(shareOf(medium) > shareOf(before.byRoute[1]), note);
  t.true(shareOf(short) > shareOf(before.byRoute[0]) - 0.02, note);
});

test('load pattern: a burst whose long prompts share their text is not refused', t => {
  t.timeout(SIMULATION_TIMEOUT_MS);
  // Guards against refusals and spilled prompts where caches fill within
  // seconds: engines can read this burst.
  const before = simulateBurst(635, {areControlsOn: false});
  const after = simulateBurst(635);
  const note = JSON.stringify({before, after});
  t.true(sumRefusals(after) < 0.01 * after.byRoute[2].asked, note);
  t.true(
    after.byRoute[2].inTime / after.byRoute[2].asked >
      before.byRoute[2].inTime / before.byRoute[2].asked - 0.03,
    note,
  );
});

test('without loads of other instances nothing is refused in a burst', t => {
  // Guards against refusals of an instance that sees its own requests only.
  const result = simulateBurst(5000, {
    areLoadsShared: false,
    durationMs: 16_000,
  });
  t.is(sumRefusals(result), 0);
});
