import test from 'ava';
import {brandAs, type DataCentreId} from '@snipestage/types/ids.js';
import {DemandMeter} from './demand_meter.js';
import {
  findShortRoutes,
  orderForSplit,
  shareOfShortRoutes,
  splitCount,
  widenSide,
} from './engine_split.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {
  COUNTER,
  makeEndpoint,
  makePrompt,
  QUOTE,
  REPAIR,
} from './test_support/fixtures.js';

test('neither side of the split is ever empty', t => {
  t.is(splitCount(8, 0.01), 1);
  t.is(splitCount(8, 0.99), 7);
  t.is(splitCount(8, 0.4), 3);
});

test('one route alone uses all engines', t => {
  const demand = new DemandMeter();
  demand.count(REPAIR, COUNTER, makePrompt('c', 300, 1100), 0);
  t.is(findShortRoutes(demand.read(REPAIR, 0)).size, 0);
});

/** Meters the given requests of each route, evenly over two seconds. */
function countRequests(counts: {
  readonly quote: number;
  readonly counter: number;
}): DemandMeter {
  const meter = new DemandMeter({halfLifeMs: 2000});
  const {quote, counter} = counts;
  for (let index = 0; index < quote; index++) {
    const nowMs = (index * 2000) / quote;
    meter.count(REPAIR, QUOTE, makePrompt('q', 5000, 6000), nowMs);
  }
  for (let index = 0; index < counter; index++) {
    const nowMs = (index * 2000) / counter;
    meter.count(REPAIR, COUNTER, makePrompt('c', 200, 600), nowMs);
  }
  return meter;
}

function shareFor(agreed: DemandMeter, recent: DemandMeter): number {
  const demands = agreed.read(REPAIR, 2000);
  return shareOfShortRoutes({
    demands,
    shortRoutes: findShortRoutes(demands),
    recentCounts: recent.countRecent(REPAIR, 2000),
  });
}

test('the split follows a burst of short requests before new figures are agreed', t => {
  // Guards against losing a third of the callers of short requests: their rate
  // quadruples within a second, and they queue two deep at a third of the
  // engines beside free ones, since the agreed figures show the burst when it
  // is over.
  const agreed = countRequests({quote: 80, counter: 120});
  const burst = countRequests({quote: 30, counter: 160});
  t.true(shareFor(agreed, burst) > 1.5 * shareFor(agreed, agreed));
});

test('the split follows a burst of long prompts too', t => {
  const agreed = countRequests({quote: 80, counter: 120});
  const burst = countRequests({quote: 90, counter: 40});
  t.true(shareFor(agreed, burst) < 0.7 * shareFor(agreed, agreed));
});

test('a few recent requests do not change the split', t => {
  // Guards against instances that split the engines differently by their own
  // few requests at low load; streams stutter on engines that are on both
  // sides.
  const agreed = countRequests({quote: 80, counter: 120});
  for (const recent of [
    countRequests({quote: 8, counter: 15}),
    countRequests({quote: 11, counter: 11}),
    countRequests({quote: 0, counter: 0}),
  ]) {
    t.is(shareFor(agreed, recent), shareFor(agreed, agreed));
  }
});

/** Engines of three data centres; their names differ by day. */
function nameEngines(day: number): ServingEndpoint[] {
  return Array.from({length: 15}, (_, index) =>
    makeEndpoint(`i-${day}-${index}`, {
      dataCentre: brandAs<DataCentreId>(`centre-${index % 3}`),
    }),
  );
}

test('hardly any engine changes sides when a data centre is lost', t => {
  // Guards against cold caches while a third of the engines is missing: a data
  // centre is cut off, the remaining engines are split again, and each one that
  // changes sides has to process its new prompts from the start.
  let moved = 0;
  for (let day = 0; day < 200; day += 1) {
    const engines = nameEngines(day);
    const left = engines.filter(({dataCentre}) => dataCentre !== 'centre-0');
    const before = new Set(orderForSplit(engines).slice(0, 5));
    const after = new Set(orderForSplit(left).slice(0, 3));
    moved += left.filter(each => before.has(each) !== after.has(each)).length;
  }
  // Without spreading over data centres 0.66 engines of 10 change sides.
  t.true(moved / 200 < 0.4, `${moved / 200}`);
});

test('no data centre has engines of one side only', t => {
  for (let day = 0; day < 200; day += 1) {
    const short = orderForSplit(nameEngines(day)).slice(0, 5);
    t.is(new Set(short.map(({dataCentre}) => dataCentre)).size, 3);
  }
});

test('a side is widened by the next engines in order until the limit is met', t => {
  const engines = Array.from({length: 10}, (_, index) =>
    makeEndpoint(`engine-${index}`, {capacity: 16}),
  );
  const widen = (loads: readonly number[]) =>
    widenSide(engines, 2, {
      loadOf: engine => loads[engines.indexOf(engine)] ?? 0,
      maxUtilization: 0.5,
    }).length;
  t.is(widen([]), 2);
  t.is(widen([8, 8]), 2);
  t.is(widen([16, 16]), 4);
  t.is(widen([16, 16, 8, 8]), 6);
  t.is(widen(Array.from({length: 10}, () => 20)), 10);
});
