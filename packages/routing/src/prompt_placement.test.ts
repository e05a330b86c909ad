import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import {DataCentreReach} from './data_centre_reach.js';
import {DemandMeter} from './demand_meter.js';
import {EndpointMonitor} from './endpoint_monitor.js';
import type {Prompt} from './prompt.js';
import {PromptPlacement} from './prompt_placement.js';
import type {Route} from './route.js';
import {
  AKL_A,
  COUNTER,
  makeEndpoint,
  makePrompt,
  QUOTE,
  REPAIR,
} from './test_support/fixtures.js';
import {WarmupGate} from './warmup_gate.js';

const ENGINES = Array.from({length: 8}, (_, index) =>
  makeEndpoint(`engine-${index}`),
);

/** Many requests of both routes, over some seconds. */
function makePlacement(
  monitor = new EndpointMonitor(),
  warmup?: WarmupGate,
): PromptPlacement {
  const demand = new DemandMeter();
  for (let index = 0; index < 100; index++) {
    const nowMs = index * 50;
    demand.count(REPAIR, QUOTE, makePrompt(`q${index}`, 13_000, 3700), nowMs);
    demand.count(REPAIR, COUNTER, makePrompt('c', 300, 1100), nowMs);
  }
  const reach = new DataCentreReach();
  const recent = new DemandMeter();
  return new PromptPlacement({
    monitor,
    reach,
    demand,
    recent,
    warmup,
    random: () => 0,
  });
}

function place(
  placement: PromptPlacement,
  route: Route,
  prompt: Prompt,
  engines = ENGINES,
): string | undefined {
  return placement.choose(engines, {
    route,
    prompt,
    dataCentre: AKL_A,
    excluded: new Set(),
    avoided: new Set(),
    nowMs: 5000,
  })?.endpoint.id;
}

test('long prompts are not sent to engines that serve short pauses', t => {
  // Guards against answers that stutter for half a second: an engine processes
  // a long prompt between the tokens of all its streams.
  const placement = makePlacement();
  const quotes = new Set<string | undefined>();
  for (let index = 0; index < 200; index++) {
    const prompt = makePrompt(`q${index}`, 13_000, 3700);
    quotes.add(place(placement, QUOTE, prompt));
  }
  const counter = place(placement, COUNTER, makePrompt('c', 300, 1100));
  t.false(quotes.has(counter));
  t.true(quotes.size >= 3);
});

test('requests that share a prefix go to the same engine', t => {
  const prompt = makePrompt('manual-7', 13_000, 3700);
  const first = place(makePlacement(), QUOTE, prompt);
  const other = place(makePlacement(), QUOTE, prompt);
  t.is(first, other);
});

test('prompts with a hot prefix spill over when its engine has more than its share', t => {
  // Guards against one long queue beside idle engines: a prefix becomes popular
  // within a minute, and a single engine has it in its cache.
  const monitor = new EndpointMonitor();
  const placement = makePlacement(monitor);
  const prompt = makePrompt('hot', 13_000, 3700);
  const primary = place(placement, QUOTE, prompt)!;
  const busy = {running: 60, waiting: 10, capacity: 64};
  monitor.noteLoad(brandAs<EndpointId>(primary), busy, 5000);
  t.not(place(placement, QUOTE, prompt), primary);
});

test('a full primary engine is skipped while others have room', t => {
  // Guards against queues and preemptions at full primary engines at high load,
  // when the bound by the mean load is above what an engine can run.
  const monitor = new EndpointMonitor();
  const placement = makePlacement(monitor);
  const engines = ENGINES.map(({id}) => makeEndpoint(id, {capacity: 16}));
  const prompt = makePrompt('manual-7', 13_000, 3700);
  const primary = place(placement, QUOTE, prompt, engines)!;
  for (const {id} of engines) {
    const running = id === primary ? 16 : 12;
    monitor.noteLoad(id, {running, waiting: 0, capacity: 16}, 5000);
  }
  t.not(place(placement, QUOTE, prompt, engines), primary);
});

test('a failing primary engine is skipped', t => {
  const monitor = new EndpointMonitor();
  const placement = makePlacement(monitor);
  const prompt = makePrompt('manual-7', 13_000, 3700);
  const primary = brandAs<EndpointId>(place(placement, QUOTE, prompt)!);
  for (let count = 0; count < 5; count++) monitor.note(primary, 'failed', 5000);
  t.not(place(placement, QUOTE, prompt), primary);
});

test('an engine that lacks a prefix can fetch it from the next in rank', t => {
  // Guards against delays of all requests on an engine that has just booted: it
  // becomes the primary engine of a seventh of all prefixes and would process
  // them again, while the engines that served them before have them in their
  // caches.
  const placement = makePlacement();
  const prompt = makePrompt('manual-7', 13_000, 3700);
  const request = {
    route: QUOTE,
    prompt,
    dataCentre: AKL_A,
    excluded: new Set<EndpointId>(),
    avoided: new Set<DataCentreId>(),
    nowMs: 5000,
  };
  const placed = placement.choose(ENGINES, request)!;
  const without = ENGINES.filter(({id}) => id !== placed.endpoint.id);
  t.is(placed.cacheSource?.id, placement.choose(without, request)?.endpoint.id);
});

test('load pattern: engines of one side of the split come back cold', t => {
  // Guards against long prompts that move to engines of short pauses meanwhile.
  const warmup = new WarmupGate({
    limitOf: () => ({durationMs: 3000, requestsPerS: 7}),
    readInstances: () => 65,
    random: () => 0.99,
  });
  const sidesOf = (placement: PromptPlacement) => {
    const quotes = Array.from({length: 100}, (_, index) =>
      place(placement, QUOTE, makePrompt(`q${index}`, 13_000, 3700)),
    );
    const counter = place(placement, COUNTER, makePrompt('c', 300, 1100));
    return {quotes: new Set(quotes), counter};
  };
  const before = sidesOf(makePlacement(undefined, warmup));
  const [cold] = before.quotes;
  warmup.noteWarmup(brandAs<EndpointId>(cold ?? ''), 60_000, 5000);
  const after = sidesOf(makePlacement(undefined, warmup));
  t.is(after.counter, before.counter);
  t.false(after.quotes.has(cold));
  t.false(after.quotes.has(before.counter));
});

test('a short request may leave its side when that has too little room', t => {
  // Guards against urgent requests at full engines while others are idle.
  const monitor = new EndpointMonitor();
  const placement = makePlacement(monitor);
  const prompt = makePrompt('c', 300, 1100);
  const crowded = new Set<string | undefined>();
  for (let count = 0; count < ENGINES.length; count++) {
    const chosen = place(placement, COUNTER, prompt);
    if (crowded.has(chosen)) break;
    crowded.add(chosen);
    const id = brandAs<EndpointId>(chosen!);
    monitor.noteLoad(id, {running: 64, waiting: 9, capacity: 64}, 5000);
  }
  t.is(crowded.size, ENGINES.length);
});

test('short requests with a primary engine stay there while their side is widened', t => {
  // Guards against processing prefixes again at engines that join for seconds.
  const prompt = makePrompt('menu', 1200, 300);
  const monitor = new EndpointMonitor();
  const placement = makePlacement(monitor);
  const primary = place(placement, COUNTER, prompt);
  for (const {id} of ENGINES) {
    monitor.noteLoad(id, {running: 30, waiting: 0, capacity: 64}, 5000);
  }
  t.is(place(placement, COUNTER, prompt), primary);
});

test('an engine that lets requests wait counts as full though it has free slots', t => {
  // Guards against urgent requests at an engine whose memory is full, or which
  // reads long prompts, since it runs fewer requests than the others.
  const monitor = new EndpointMonitor();
  const placement = makePlacement(monitor);
  const prompt = makePrompt('c', 300, 1100);
  const chosen = brandAs<EndpointId>(place(placement, COUNTER, prompt)!);
  for (const {id} of ENGINES) {
    const isBusy = id === chosen;
    const load = {running: isBusy ? 5 : 20, waiting: isBusy ? 3 : 0};
    monitor.noteLoad(id, {...load, capacity: 64}, 5000);
  }
  t.not(place(placement, COUNTER, prompt), chosen);
});

test('a failing engine gets no more requests the more are on their way', t => {
  // Guards against lost requests at an engine that fails them, in a burst or
  // while loads are old: those even out loads, but not failures.
  const monitor = new EndpointMonitor();
  const demand = new DemandMeter({halfLifeMs: 1000});
  for (let count = 0; count < 600; count += 1) {
    demand.count(REPAIR, COUNTER, makePrompt('c', 300, 1100), 5000);
  }
  const placement = new PromptPlacement({
    monitor,
    reach: new DataCentreReach(),
    demand,
    recent: new DemandMeter(),
    random: createSeededRandom(1),
  });
  for (const {id} of ENGINES) {
    const load = {running: 3, waiting: 0, capacity: 64};
    monitor.noteReportedLoad(id, load, 4000);
  }
  const [failing] = ENGINES;
  for (let count = 0; count < 8; count += 1) {
    monitor.note(failing.id, 'failed', 5000);
  }
  const prompt = makePrompt('c', 300, 1100);
  const chosen = Array.from({length: 400}, () =>
    place(placement, COUNTER, prompt),
  );
  t.is(chosen.filter(id => id === failing.id).length, 0);
  t.is(new Set(chosen).size, ENGINES.length - 1);
});
