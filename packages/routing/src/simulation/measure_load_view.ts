/** Prints the loads of chosen engines for load views of several ages. */

import {createSeededRandom} from '@snipestage/policy/random_source.js';
import {
  simulateLoadView,
  type SimulatedChoice,
} from './load_view_simulation.js';

const CHOICES: readonly SimulatedChoice[] = [
  'random',
  'least_reported',
  'filled',
  'perfect',
];
const REPORT_EVERY_MS = [200, 500, 1000, 2000];
const SEEDS = [1, 2, 3];

for (const reportEveryMs of REPORT_EVERY_MS) {
  for (const choice of CHOICES) {
    const outcomes = SEEDS.map(seed =>
      simulateLoadView({
        choice,
        reportEveryMs,
        instances: 200,
        engines: 82,
        requestsPerS: 330,
        meanDurationMs: 1500,
        durationMs: 30_000,
        random: createSeededRandom(seed),
      }),
    );
    const line = outcomes.map(({mean, p99}) => `${mean.toFixed(2)}/${p99}`);
    console.log(`${reportEveryMs} ms ${choice}: mean/p99 ${line.join(' ')}`);
  }
}
