import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import {EndpointRates} from './endpoint_rates.js';
import {LeastLoadedPlacement} from './least_loaded_placement.js';
import {LoadControls} from './load_controls.js';
import type {AttemptEnd} from './load_correction.js';
import {PromptPlacement} from './prompt_placement.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {
  AKL_A,
  COUNTER,
  makeEndpoint,
  makePrompt,
  makeRoute,
  QUOTE,
  REPAIR,
} from './test_support/fixtures.js';

const FAST = makeEndpoint('fast');
const USUAL = makeEndpoint('usual');
const SLOW = makeEndpoint('slow');
const ENDPOINTS = [FAST, USUAL, SLOW];
const PLAIN = makeRoute({kind: 'idempotent', pauseTargetMs: undefined});

function makeRates(running = 0): EndpointRates {
  return new EndpointRates({runningAt: () => running});
}

function endOf(changes: Partial<AttemptEnd>): AttemptEnd {
  return {
    isAnswered: true,
    outcome: 'answered',
    pausesMs: [],
    workTimeRatio: undefined,
    ...changes,
  };
}

/** A stream with equal pauses, except for the longest one. */
function stream(
  rates: EndpointRates,
  endpoint: ServingEndpoint,
  options: {
    readonly pauseMs: number;
    readonly longestMs?: number;
    readonly atMs: number;
    readonly waitMs?: number;
    readonly workTimeRatio?: number;
  },
): void {
  const {pauseMs, longestMs = pauseMs, atMs, waitMs = 50} = options;
  const prompt = makePrompt('c', 350, 1110);
  const attempt = {endpoint, route: COUNTER, prompt, sentAtMs: atMs - 1000};
  const pausesMs = [longestMs, ...Array.from({length: 9}, () => pauseMs)];
  const {workTimeRatio} = options;
  rates.noteFirstEvent(attempt, attempt.sentAtMs + waitMs);
  rates.noteEnded(attempt, endOf({pausesMs, workTimeRatio}), atMs);
}

function learnAll(rates: EndpointRates, untilMs = 5000): void {
  for (let atMs = 500; atMs <= untilMs; atMs += 500) {
    stream(rates, FAST, {pauseMs: 14, atMs});
    stream(rates, USUAL, {pauseMs: 14, atMs});
    stream(rates, SLOW, {pauseMs: 34, atMs});
  }
}

test('without relays an instance learns speeds from its own streams', t => {
  // Guards against an instance that places by count while it is cut off.
  const rates = makeRates();
  t.is(rates.slownessOf(SLOW, 0), 1);
  learnAll(rates);
  t.true(Math.abs(rates.slownessOf(SLOW, 5000) - 34 / 14) < 0.1);
  t.true(Math.abs(rates.slownessOf(FAST, 5000) - 1) < 0.05);
  t.true(rates.isSlow(SLOW, 5000));
  t.false(rates.isSlow(FAST, 5000));
});

test('an engine that is slow for good is learned from its first streams', t => {
  // Guards against a slow machine whose streams are all taken for slow moments:
  // an instance sees one of them each ten seconds.
  const rates = makeRates();
  for (let atMs = 500; atMs <= 2000; atMs += 500) {
    stream(rates, FAST, {pauseMs: 14, workTimeRatio: 0.7, atMs});
    stream(rates, USUAL, {pauseMs: 14, workTimeRatio: 0.7, atMs});
    stream(rates, SLOW, {pauseMs: 34, workTimeRatio: 1.7, atMs});
  }
  t.true(rates.isSlow(SLOW, 2000));
  t.true(rates.slownessOf(SLOW, 2000) > 2);
});

test('an endpoint that has restarted begins at the usual speed', t => {
  // Guards against a new process that is judged by the machine of the old one.
  const rates = makeRates();
  learnAll(rates);
  rates.forget(SLOW.id);
  t.is(rates.slownessOf(SLOW, 5000), 1);
  t.false(rates.isSlow(SLOW, 5000));
});

test('a rate fades with a half-life of a minute without samples', t => {
  // Guards against an endpoint that is never tried again once it was slow.
  const rates = makeRates();
  learnAll(rates);
  const before = Math.log(rates.slownessOf(SLOW, 5000));
  const after = Math.log(rates.slownessOf(SLOW, 65_000));
  t.true(Math.abs(after / before - 0.5) < 0.01);
  t.false(rates.isSlow(SLOW, 600_000));
});

test('single outliers and moments of slowness hardly move a rate', t => {
  // Guards against engines that change sides because of one held-up stream.
  const rates = makeRates();
  learnAll(rates);
  stream(rates, USUAL, {pauseMs: 900, atMs: 5100});
  t.true(rates.slownessOf(USUAL, 5100) < 1.1);
  stream(rates, FAST, {pauseMs: 35, workTimeRatio: 2.5, atMs: 5200});
  t.true(rates.slownessOf(FAST, 5200) < 1.01);
  t.false(rates.isSlow(USUAL, 5200));
});

test('streams that waited in a queue are not learned from', t => {
  // Guards against a split that changes in a burst of long prompts, when all
  // engines of the long side pause between events.
  const rates = makeRates();
  learnAll(rates);
  for (let atMs = 5500; atMs < 9000; atMs += 500)
    stream(rates, USUAL, {pauseMs: 90, waitMs: 900, atMs});
  t.true(rates.slownessOf(USUAL, 9000) < 1.05);
});

test('pauses are corrected for the number of requests beside a stream', t => {
  // Guards against fast engines that count as slow since they get more requests.
  const running = new Map<EndpointId, number>([[FAST.id, 60]]);
  const rates = new EndpointRates({runningAt: id => running.get(id) ?? 0});
  for (let atMs = 500; atMs <= 5000; atMs += 500) {
    stream(rates, FAST, {pauseMs: 14 * (1 + 0.015 * 60), atMs});
    stream(rates, USUAL, {pauseMs: 14, atMs});
  }
  t.true(Math.abs(rates.slownessOf(FAST, 5000) - 1) < 0.01);
});

test('events that arrive at once after a delay do not make an endpoint fast', t => {
  // Guards against a quartile near 0 at an instance with a fraction of a core.
  const rates = makeRates();
  learnAll(rates);
  const attempt = {endpoint: USUAL, route: COUNTER, prompt: undefined};
  const pausesMs = [28, 0.1, 28, 0.1, 28, 0.1, 28, 0.1, 28, 0.1];
  rates.noteEnded({...attempt, sentAtMs: 4000}, endOf({pausesMs}), 5000);
  t.true(rates.slownessOf(USUAL, 5000) > 0.98);
});

/** Durations of plain answers, which the endpoint's machine may prolong. */
function answer(
  rates: EndpointRates,
  endpoint: ServingEndpoint,
  options: {
    readonly durationMs: number;
    readonly workTimeRatio?: number;
    readonly atMs: number;
  },
): void {
  const {durationMs, workTimeRatio = 1, atMs} = options;
  const sentAtMs = atMs - durationMs;
  const attempt = {endpoint, route: PLAIN, prompt: undefined, sentAtMs};
  rates.noteEnded(attempt, endOf({workTimeRatio}), atMs);
}

test('durations of plain answers are divided by the work time ratio', t => {
  // Guards against endpoints that count as slow for a moment that has passed.
  const rates = makeRates();
  for (let atMs = 1000; atMs < 4000; atMs += 100) {
    const isMoment = atMs % 700 === 0;
    const workTimeRatio = isMoment ? 2.5 : 1;
    answer(rates, USUAL, {durationMs: 86 * workTimeRatio, workTimeRatio, atMs});
    answer(rates, FAST, {durationMs: 86, atMs});
    answer(rates, SLOW, {durationMs: 200, atMs});
  }
  t.true(Math.abs(rates.slownessOf(USUAL, 6000) - 1) < 0.02);
  t.true(rates.slownessOf(SLOW, 6000) > 2);
});

test('a work time ratio counts for a moment only', t => {
  // Guards against placing by a ratio that is older than the time it holds for.
  const rates = makeRates();
  for (let atMs = 1000; atMs < 2000; atMs += 100) {
    answer(rates, USUAL, {durationMs: 86, atMs});
    answer(rates, FAST, {durationMs: 86, atMs});
  }
  answer(rates, USUAL, {durationMs: 215, workTimeRatio: 2.5, atMs: 5000});
  t.true(rates.slownessOf(USUAL, 5005) > 2.4);
  for (const ageMs of [100, 800, 1100])
    t.true(rates.slownessOf(USUAL, 5000 + ageMs) < 1.05, `${ageMs}`);
});

test('routes with short pauses avoid slow engines once these are late', t => {
  // Guards against late pauses at slow engines beside usual ones with room.
  const rates = makeRates();
  learnAll(rates);
  for (let atMs = 5500; atMs < 30_000; atMs += 500)
    stream(rates, FAST, {pauseMs: 14, longestMs: 90, atMs});
  const request = {
    prompt: undefined,
    dataCentre: AKL_A,
    excluded: new Set<never>(),
    avoided: new Set<never>(),
    nowMs: 5000,
  };
  t.true(rates.lateShareOf(SLOW, {...request, route: COUNTER}) > 0.5);
  t.is(rates.lateShareOf(USUAL, {...request, route: COUNTER}), 0);
  t.is(rates.lateShareOf(SLOW, {...request, route: PLAIN}), 0);
});

/** Engines of 200 requests of two routes. */
function chooseMany(controls: LoadControls, rates?: EndpointRates): string {
  const monitor = new EndpointMonitor();
  const demand = new DemandMeter();
  const engines = Array.from({length: 9}, (_, index) =>
    index < 3 ? ENDPOINTS[index] : makeEndpoint(`engine-${index}`),
  );
  for (const [index, {id}] of engines.entries()) {
    const load = {running: index, waiting: index % 2, capacity: 64};
    monitor.noteReportedLoad(id, load, 4500);
  }
  const placement = new PromptPlacement({
    monitor,
    reach: new DataCentreReach(),
    demand,
    recent: new DemandMeter(),
    controls,
    correction: rates,
    random: createSeededRandom(7),
  });
  const chosen = Array.from({length: 200}, (_, index) => {
    const route = index % 2 === 0 ? QUOTE : COUNTER;
    const shared = index % 2 === 0 ? 13_000 : 300;
    const prompt = makePrompt(`p${index}`, shared, 1100);
    demand.count(REPAIR, route, prompt, 5000);
    return placement.choose(engines, {
      route,
      prompt,
      dataCentre: AKL_A,
      excluded: new Set(),
      avoided: new Set(),
      nowMs: 5000,
    })?.endpoint.id;
  });
  return chosen.join(' ');
}

test('without load controls requests are placed as without rates', t => {
  // Guards against rates that change deployments already in service.
  const rates = makeRates();
  learnAll(rates);
  const usual = chooseMany(new LoadControls());
  t.is(chooseMany(new LoadControls(), rates), usual);
  t.is(chooseMany(new LoadControls({isCapacityScarce: true})), usual);
  const scarce = new LoadControls({isCapacityScarce: true});
  t.not(chooseMany(scarce, rates), usual);
});

test('a plain service gets requests by learned speed', t => {
  // Guards against as many requests at a slow endpoint as at the others.
  const rates = makeRates();
  for (let atMs = 1000; atMs < 4000; atMs += 100) {
    answer(rates, USUAL, {durationMs: 86, atMs});
    answer(rates, FAST, {durationMs: 86, atMs});
    answer(rates, SLOW, {durationMs: 200, atMs});
  }
  const choose = (areOn: boolean) => {
    const placement = new LeastLoadedPlacement({
      monitor: new EndpointMonitor(),
      reach: new DataCentreReach(),
      controls: new LoadControls({isCapacityScarce: areOn}),
      correction: rates,
      random: createSeededRandom(3),
    });
    const request = {
      route: PLAIN,
      prompt: undefined,
      dataCentre: AKL_A,
      excluded: new Set<never>(),
      avoided: new Set<never>(),
      nowMs: 5000,
    };
    const ids = Array.from(
      {length: 60},
      () => placement.choose(ENDPOINTS, request)?.endpoint.id,
    );
    return ids.filter(id => id === SLOW.id).length;
  };
  t.is(choose(true), 0);
  t.true(choose(false) > 8);
});
