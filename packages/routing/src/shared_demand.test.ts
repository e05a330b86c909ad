import test from 'ava';
import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {
  findShortRoutes,
  shareOfShortRoutes,
  splitCount,
} from './engine_split.js';
import {DemandMeter} from './demand_meter.js';
import type {Prompt} from './prompt.js';
import type {Route} from './route.js';
import {SharedDemand} from './shared_demand.js';
import {COUNTER, makePrompt, QUOTE, REPAIR} from './test_support/fixtures.js';

const ENGINES = 90;
const INSTANCES = 60;
const REPORT_EVERY_MS = 500;
const ROUTES = [COUNTER, QUOTE];

interface Instance {
  readonly shared: SharedDemand;
  readonly steady: DemandMeter;
  readonly recent: DemandMeter;
}

function findRoute(id: Route['id']): Route | undefined {
  return ROUTES.find(route => route.id === id);
}

function makeInstance(): Instance {
  const shared = new SharedDemand({findRoute});
  shared.takeOwn(0);
  const recent = new DemandMeter({halfLifeMs: 1500});
  return {shared, steady: new DemandMeter(), recent};
}

function promptOf(route: Route): Prompt {
  return route === COUNTER
    ? makePrompt('counter', 350, 1110)
    : makePrompt('quote', 13_300, 3720);
}

/** Each instance's number of engines for short requests. */
function countShortEngines(
  instances: readonly Instance[],
  nowMs: number,
  isShared: boolean,
): readonly number[] {
  return instances.map(({shared, steady, recent}) => {
    const source = isShared ? shared : steady;
    const demands = source.read(REPAIR, nowMs);
    const share = shareOfShortRoutes({
      demands,
      shortRoutes: findShortRoutes(demands),
      recentCounts: (isShared ? shared : recent).countRecent(REPAIR, nowMs),
    });
    return splitCount(ENGINES, share);
  });
}

/**
 * Requests of both routes at random instances, as many short ones as the rate
 * says, with a report of all instances each half second.
 */
function run(
  durationMs: number,
  shortPerS: (nowMs: number) => number,
): readonly Instance[] {
  const random = createSeededRandom(5);
  const instances = Array.from({length: INSTANCES}, makeInstance);
  for (let nowMs = 0; nowMs <= durationMs; nowMs += 10) {
    const perS: ReadonlyArray<readonly [Route, number]> = [
      [COUNTER, shortPerS(nowMs)],
      [QUOTE, 60],
    ];
    for (const [route, rate] of perS) {
      if (random() * 100 >= rate) continue;
      const at = instances[Math.floor(random() * INSTANCES)];
      const prompt = promptOf(route);
      at.shared.noteOwn(REPAIR, route.id, prompt);
      at.steady.count(REPAIR, route, prompt, nowMs);
      at.recent.count(REPAIR, route, prompt, nowMs);
    }
    if (nowMs % REPORT_EVERY_MS !== 0) continue;
    const reports = instances.flatMap(each => [...each.shared.takeOwn(nowMs)]);
    for (const each of instances) each.shared.addReported(reports, nowMs);
  }
  return instances;
}

function spreadOf(values: readonly number[]): number {
  const sorted = values.toSorted((one, other) => one - other);
  const at = (share: number) => sorted[Math.floor(share * (sorted.length - 1))];
  return at(0.9) - at(0.1);
}

test('load pattern: 60 instances with two requests a second each agree on the split', t => {
  // Guards against short requests beside long prompts, as instances whose own
  // figures differ send both to the same engines.
  const instances = run(6000, () => 100);
  t.true(spreadOf(countShortEngines(instances, 6000, false)) > 8);
  t.is(spreadOf(countShortEngines(instances, 6000, true)), 0);
});

test('load pattern: a burst of short requests moves the split within two seconds', t => {
  // Guards against a split that follows a burst when it is over.
  const instances = run(10_000, nowMs => (nowMs < 8000 ? 30 : 100));
  const [before] = countShortEngines(
    run(8000, () => 30),
    8000,
    true,
  );
  const [during] = countShortEngines(instances, 10_000, true);
  t.true(during > 1.5 * before, `${before} ${during}`);
});

test('without reports of others nothing counts as known', t => {
  // Guards against an instance cut off from its relay that takes its own few
  // requests for those of all.
  const {shared} = makeInstance();
  shared.noteOwn(REPAIR, COUNTER.id, promptOf(COUNTER));
  shared.addOwn(shared.takeOwn(500), 500);
  t.false(shared.isKnown(500));
  const reported = [
    {
      service: REPAIR,
      route: COUNTER.id,
      requests: 1,
      work: 1500,
      promptTokens: 1460,
    },
  ];
  shared.addReported(reported, 600);
  t.true(shared.isKnown(3000));
  t.false(shared.isKnown(3700));
});

test('requests of a long time without reports are not reported as a burst', t => {
  // Guards against all instances seeing a burst after a relay was lost.
  const {shared} = makeInstance();
  for (let index = 0; index < 50; index++) {
    shared.noteOwn(REPAIR, COUNTER.id, promptOf(COUNTER));
  }
  t.deepEqual(shared.takeOwn(10_000), []);
  shared.noteOwn(REPAIR, COUNTER.id, promptOf(COUNTER));
  t.is(shared.takeOwn(10_500)[0].requests, 1);
});

test('demand of routes that are gone is dropped', t => {
  // Guards against shares of routes that operators have removed.
  const {shared} = makeInstance();
  shared.noteOwn(REPAIR, 'gone' as Route['id'], promptOf(COUNTER));
  shared.addReported(shared.takeOwn(500), 500);
  t.deepEqual(shared.read(REPAIR, 500), []);
});
