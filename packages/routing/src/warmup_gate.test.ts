import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {findUsable, leaveOutCold} from './placement.js';
import {AKL_A, makeEndpoint, makeRoute} from './test_support/fixtures.js';
import {WarmupGate} from './warmup_gate.js';

const LIMIT = {durationMs: 60_000, requestsPerS: 7.3};
const TOLERANCE = {overage: 1.5, slack: 5};
/** Requests that a cold engine can take in any second. */
const MOST_IN_A_SECOND = 15;
const ENGINE = makeEndpoint('cold');

/** Numbers from 0 to 1 that are the same in each run (mulberry32). */
function makeRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function makeGate(
  instances: number | undefined,
  random: () => number,
): WarmupGate {
  return new WarmupGate({
    limitOf: () => LIMIT,
    readInstances: () => instances,
    tolerance: TOLERANCE,
    random,
  });
}

interface Simulated {
  readonly instances: number;
  /** Number of instances as counted by each of them. */
  readonly counted: number;
  readonly seed: number;
}

/** Times at which the engine gets requests while all instances want it. */
function simulate({instances, counted, seed}: Simulated): readonly number[] {
  const random = makeRandom(seed);
  const gates = Array.from({length: instances}, () => {
    const gate = makeGate(counted, random);
    gate.noteWarmup(ENGINE.id, LIMIT.durationMs, 0);
    return gate;
  });
  const arrivals: number[] = [];
  for (let nowMs = 0; nowMs < LIMIT.durationMs; nowMs += 20) {
    for (const gate of gates) {
      // A few requests a second reach each instance.
      if (random() > 0.1 || !gate.mayAdmit(ENGINE, nowMs)) continue;
      gate.noteSent(ENGINE, nowMs);
      arrivals.push(nowMs);
    }
  }
  return arrivals;
}

function mostInASecond(arrivals: readonly number[]): number {
  let first = 0;
  let most = 0;
  arrivals.forEach((atMs, index) => {
    while (arrivals[first] <= atMs - 1000) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

for (const instances of [1, 9, 65, 195]) {
  test(`load pattern: ${instances} instances want one cold engine`, t => {
    // Guards against a cold engine that gets requests of all instances at once.
    for (let seed = 1; seed <= 10; seed++) {
      const arrivals = simulate({instances, counted: instances, seed});
      t.true(mostInASecond(arrivals) <= MOST_IN_A_SECOND, `seed ${seed}`);
      t.true(arrivals.length > 0, 'the engine is used at all');
    }
  });
}

test('load pattern: three quarters more instances than were counted', t => {
  // Guards against excess requests of instances that started, or were cut off,
  // since the last count.
  for (let seed = 1; seed <= 10; seed++) {
    const arrivals = simulate({instances: 114, counted: 65, seed});
    t.true(mostInASecond(arrivals) <= MOST_IN_A_SECOND, `seed ${seed}`);
  }
});

test('nothing is admitted while the number of instances is unknown', t => {
  const gate = makeGate(undefined, () => 0);
  gate.noteWarmup(ENGINE.id, 3000, 0);
  t.false(gate.mayAdmit(ENGINE, 1));
});

test('an engine is cold until its time is over or it reports that it is warm', t => {
  const gate = makeGate(65, () => 0);
  gate.noteWarmup(ENGINE.id, 3000, 0);
  t.true(gate.isCold(ENGINE.id, 2999));
  t.false(gate.isCold(ENGINE.id, 3000));
  gate.presumeCold(ENGINE, 4000);
  t.true(gate.isCold(ENGINE.id, 4001));
  gate.noteWarmup(ENGINE.id, 0, 4002);
  t.false(gate.isCold(ENGINE.id, 4003));
});

function usableIds(options: {
  readonly gate: WarmupGate;
  readonly warmLoad: number;
  readonly warm: number;
}): readonly EndpointId[] {
  const {gate, warmLoad, warm} = options;
  const monitor = new EndpointMonitor();
  const engines = Array.from({length: warm}, (_, index) =>
    makeEndpoint(`warm-${index}`),
  );
  for (const {id} of engines) {
    const load = {running: warmLoad, waiting: 0, capacity: 64};
    monitor.noteLoad(id, load, 0);
  }
  gate.noteWarmup(ENGINE.id, 3000, 0);
  const request = {
    route: makeRoute(),
    prompt: undefined,
    dataCentre: AKL_A,
    excluded: new Set<EndpointId>(),
    avoided: new Set<DataCentreId>(),
    nowMs: 1,
  };
  const placementState = {monitor, reach: new DataCentreReach(), warmup: gate};
  const usable = findUsable([...engines, ENGINE], request, placementState);
  const admitted = leaveOutCold(usable, usable, request, placementState);
  return admitted.map(({id}) => id);
}

test('load pattern: a data centre comes back cold beside warm engines', t => {
  // Guards against idle but cold engines that attract a burst of requests.
  const gate = makeGate(65, () => 0);
  const ids = usableIds({gate, warm: 2, warmLoad: 20});
  t.deepEqual(ids, ['warm-0', 'warm-1']);
});

test('a cold engine gets its share when all warm ones are full', t => {
  const full = {warm: 2, warmLoad: 70};
  t.deepEqual(usableIds({gate: makeGate(65, () => 0), ...full}), [ENGINE.id]);
  const none = makeGate(65, () => 0.99);
  t.deepEqual(usableIds({gate: none, ...full}), ['warm-0', 'warm-1']);
});

test('where only cold engines are left, those beyond their rate get nothing', t => {
  // Guards against overloading engines that all come back cold after an outage.
  const only = {warm: 0, warmLoad: 0};
  t.deepEqual(usableIds({gate: makeGate(65, () => 0), ...only}), [ENGINE.id]);
  t.deepEqual(usableIds({gate: makeGate(65, () => 0.99), ...only}), []);
});

test('gone endpoints are forgotten', t => {
  const gate = makeGate(65, () => 0);
  gate.noteWarmup(brandAs<EndpointId>('gone'), 3000, 0);
  gate.retain(new Set([ENGINE.id]));
  t.false(gate.isCold(brandAs<EndpointId>('gone'), 1));
});
