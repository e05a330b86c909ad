/** Measures how many streamed requests a second one entry process sustains. */

import {setTimeout as delay} from 'node:timers/promises';
import {build as buildHistogram} from 'hdr-histogram-js';
import {meanMark} from '../engine/output_length.js';
import {Launcher} from '../launch/launcher.js';
import {exponential, seededRandom} from '../random.js';
import type {Arrival} from './arrivals.js';
import {Balancer} from './balancer.js';
import {
  EXPERIMENT_ACCOUNT,
  EXPERIMENT_CLASS,
  EXPERIMENT_MODEL,
  idleScenario,
  type ExperimentRow,
} from './experiment.js';
import {Load, type Outcome} from './load.js';
import {readProcessUsage, usageBetween} from './process_usage.js';
import {startTestBed, type TestBed} from './test_bed.js';

const RATES_PER_SECOND = [50, 100, 200, 300, 400];
const STEP_MS = 8000;
const PAUSE_BETWEEN_STEPS_MS = 2000;
const DRAIN_MS = 10_000;
const MEAN_OUTPUT_TOKENS = 20;
const SEED = 7;
const MS_PER_SECOND = 1000;

/**
 * Raises the request rate step by step, with engines that never become full.
 *
 * @example
 * console.log(formatExperiment(await measureCapacity()));
 */
export async function measureCapacity(): Promise<ExperimentRow[]> {
  const launcher = new Launcher();
  try {
    const scenario = idleScenario({
      dataCentres: ['akl-a', 'akl-b', 'akl-c'],
      entriesPerDataCentre: 1,
      enginesPerDataCentre: 2,
      engine: {
        seed: SEED,
        batch: {
          maxBatch: 1000,
          betweenTokensMs: 20,
          betweenTokensPerRunningMs: 0,
          prefillPerTokenMs: 0,
        },
      },
      maxConcurrency: 1000,
    });
    const testBed = await startTestBed(launcher, scenario, 'tiered');
    const rows: ExperimentRow[] = [];
    for (const rate of RATES_PER_SECOND) {
      rows.push(await measureRate(testBed, rate));
      await delay(PAUSE_BETWEEN_STEPS_MS);
    }
    return rows;
  } finally {
    await launcher.close();
  }
}

async function measureRate(
  testBed: TestBed,
  ratePerSecond: number,
): Promise<ExperimentRow> {
  const [entry] = testBed.deployment.entries;
  const load = new Load({
    balancer: new Balancer({urls: [entry.callersUrl]}),
    accountKeys: testBed.accountKeys,
    model: EXPERIMENT_MODEL,
    engineSeed: SEED,
    drainMs: DRAIN_MS,
  });
  const {pid} = entry.process;
  const before = readProcessUsage(pid);
  const clientBefore = readProcessUsage(process.pid);
  const running = load.run(arrivalsAt(ratePerSecond));
  await delay(STEP_MS);
  const used = usageBetween(before, readProcessUsage(pid));
  const clientUsage = usageBetween(clientBefore, readProcessUsage(process.pid));
  const outcomes = await running;
  return {
    name: `${ratePerSecond}/s`,
    figures: {
      wholeShare:
        outcomes.filter(({isComplete}) => isComplete).length / outcomes.length,
      ...latencyFigures(outcomes),
      entryCpuShare: used.cpuShare,
      entryMegabytes: used.residentMegabytes,
      clientCpuShare: clientUsage.cpuShare,
    },
  };
}

function latencyFigures(outcomes: readonly Outcome[]): Record<string, number> {
  const histogram = buildHistogram();
  for (const {firstTokenMs} of outcomes) {
    if (firstTokenMs !== undefined) {
      histogram.recordValue(Math.max(0, Math.round(firstTokenMs)));
    }
  }
  return {
    firstTokenP50Ms: histogram.getValueAtPercentile(50),
    firstTokenP99Ms: histogram.getValueAtPercentile(99),
  };
}

function arrivalsAt(ratePerSecond: number): Arrival[] {
  const random = seededRandom(ratePerSecond);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < STEP_MS) {
    const number = arrivals.length + 1;
    arrivals.push({
      atMs,
      requestClass: EXPERIMENT_CLASS,
      account: EXPERIMENT_ACCOUNT,
      prompt: `question ${number} ${meanMark(MEAN_OUTPUT_TOKENS)}`,
      meanOutputTokens: MEAN_OUTPUT_TOKENS,
      isPoison: false,
    });
    atMs += exponential(random, MS_PER_SECOND / ratePerSecond);
  }
  return arrivals;
}
