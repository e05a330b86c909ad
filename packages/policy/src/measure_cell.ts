/**
 * Measures the policies of one cell under a simulated clock, and prints a
 * table: `node packages/policy/dist/measure_cell.js [scenario] [--seeds N]`. It
 * covers the decisions only, not processes, networks or real engines.
 */

import {createPolicySet, type PolicyName} from './policy_set.js';
import {createSeededRandom} from './random_source.js';
import {
  summarise,
  type GroupResult,
  type SimulationResult,
} from './simulation/attainment.js';
import {simulateCell} from './simulation/cell_simulation.js';
import {SCENARIOS, type Scenario} from './simulation/scenarios.js';
import {generateArrivals} from './simulation/workload.js';
import {makeEndpoint} from './test_fixtures.js';

const POLICIES: readonly PolicyName[] = [
  'tiered',
  'round_robin',
  'least_in_flight',
];
const DURATION_MS = 60_000;
const DEFAULT_SEEDS = 5;
const ENDPOINTS = ['e1', 'e2', 'e3', 'e4'].map(id =>
  makeEndpoint(id, {maxConcurrency: 32}),
);

/** Runs a scenario once under a policy. */
function measureOnce(
  scenario: Scenario,
  policy: PolicyName,
  seed: number,
): SimulationResult {
  const random = createSeededRandom(seed);
  const arrivals = generateArrivals(scenario.sources, DURATION_MS, random);
  const results = simulateCell({
    policy: createPolicySet(policy).name,
    seed,
    arrivals,
    durationMs: DURATION_MS,
    endpoints: ENDPOINTS,
    events: scenario.events,
  });
  return summarise(results, DURATION_MS, scenario.watched);
}

function median(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function percent(part: number): string {
  return `${(part * 100).toFixed(1)}%`.padStart(7);
}

function medianOf(
  runs: readonly SimulationResult[],
  pick: (run: SimulationResult) => number,
): number {
  return median(runs.map(pick));
}

function describeRuns(runs: readonly SimulationResult[]): string {
  const perClass = runs[0].classes.map((_, index) => {
    const of = (pick: (group: GroupResult) => number) =>
      medianOf(runs, run => pick(run.classes[index]));
    const p99 = Math.round(of(group => group.firstTokenP99Ms));
    const fewest = of(group => group.fewestServedIn10s);
    const attained = percent(of(group => group.attainment));
    return `${attained} ${String(p99).padStart(6)} ${String(fewest).padStart(3)}`;
  });
  const worst = percent(medianOf(runs, run => run.worstAttainment));
  const ratio = medianOf(runs, run => run.worstOverMedian).toFixed(2);
  const goodput = Math.round(medianOf(runs, run => run.goodputPerSecond));
  const missed = percent(medianOf(runs, run => run.missedTokenShare));
  return `${perClass.join(' |')} | ${worst} ${ratio} | ${String(goodput).padStart(6)} | ${missed}`;
}

function main(args: readonly string[]): void {
  const seedsAt = args.indexOf('--seeds');
  const seeds = seedsAt < 0 ? DEFAULT_SEEDS : Number(args[seedsAt + 1]);
  const [first] = args;
  const wanted = first?.startsWith('--') ? undefined : first;
  const scenarios = SCENARIOS.filter(
    ({name}) => wanted === undefined || name === wanted,
  );
  if (scenarios.length === 0) {
    const names = SCENARIOS.map(({name}) => name).join(', ');
    console.error(`There is no scenario ${wanted}; there are ${names}.`);
    process.exitCode = 1;
    return;
  }
  console.log(
    'per tier: attainment, first token p99 (ms), fewest served of 10 s; ' +
      'worst account of the burst or flooded class, and over the median one; goodput (tokens/s); tokens that missed; ' +
      `medians of ${seeds} seeds`,
  );
  for (const scenario of scenarios) {
    for (const policy of POLICIES) {
      const runs = Array.from({length: seeds}, (_, index) =>
        measureOnce(scenario, policy, index + 1),
      );
      const name = `${scenario.name} ${policy}`.padEnd(30);
      console.log(`${name}${describeRuns(runs)}`);
    }
  }
}

main(process.argv.slice(2));
