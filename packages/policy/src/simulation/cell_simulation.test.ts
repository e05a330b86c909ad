import test from 'ava';
import type {PolicyName} from '../policy_set.js';
import {createSeededRandom} from '../random_source.js';
import {makeEndpoint} from '../test_fixtures.js';
import {summarise, type SimulationResult} from './attainment.js';
import {simulateCell} from './cell_simulation.js';
import {SCENARIOS} from './scenarios.js';
import {generateArrivals} from './workload.js';

const DURATION_MS = 60_000;
const SEED = 1;

function run(name: string, policy: PolicyName): SimulationResult {
  const scenario = SCENARIOS.find(one => one.name === name)!;
  const random = createSeededRandom(SEED);
  const results = simulateCell({
    policy,
    seed: SEED,
    arrivals: generateArrivals(scenario.sources, DURATION_MS, random),
    durationMs: DURATION_MS,
    endpoints: ['e1', 'e2', 'e3', 'e4'].map(id =>
      makeEndpoint(id, {maxConcurrency: 32}),
    ),
    events: scenario.events,
  });
  return summarise(results, DURATION_MS, scenario.watched);
}

test('a burst of the middle class leaves the top class its attainment', t => {
  // The middle class bursts to ten times its traffic. The class above it must
  // keep its attainment, and the class below it must not starve.
  const tiered = run('burst_middle', 'tiered');
  const baseline = run('burst_middle', 'least_in_flight');
  t.true(tiered.classes[0].attainment >= 0.96);
  t.true(tiered.classes[2].fewestServedIn10s > 0);
  t.true(tiered.goodputPerSecond >= 0.9 * baseline.goodputPerSecond);
});

test('an account that floods a class leaves the others their attainment', t => {
  const {worstAttainment, worstOverMedian} = run('flood_low', 'tiered');
  t.true(worstAttainment >= 0.9);
  t.true(worstOverMedian >= 0.9);
});

test('the top class keeps its attainment after the owner is killed', t => {
  // The owner is killed during a burst, and its successor has learnt no limits.
  // If they started at the maximum, a whole batch too many would be admitted,
  // and every stream would slow down for seconds.
  const {classes} = run('owner_killed', 'tiered');
  t.true(classes[0].attainment >= 0.94);
});
