/** Measures the cost of an idle entry process by the number of processes. */

import {setTimeout as delay} from 'node:timers/promises';
import got from 'got';
import {Launcher} from '../launch/launcher.js';
import type {CallCounts} from '../platform/platform_log.js';
import {idleScenario, type ExperimentRow} from './experiment.js';
import {fitLine, meanOf} from './linear_fit.js';
import {
  readProcessUsage,
  usageBetween,
  type UsageRate,
} from './process_usage.js';
import {startTestBed, type TestBed} from './test_bed.js';

const PROCESS_COUNTS = [9, 20, 40];
const EXTRAPOLATED_PROCESS_COUNT = 380;
const SETTLE_MS = 10_000;
const MEASURED_MS = 15_000;
const MS_PER_SECOND = 1000;
const DATA_CENTRES = ['akl-a', 'akl-b', 'akl-c'];

/**
 * Measures each count of processes, fits a straight line to each figure and
 * extrapolates it to 380 processes. CPU, memory and bytes are means over the
 * processes; table reads and writes are totals of all processes. Where a cost
 * is not linear, the extrapolation is only a guess: read it together with the
 * three measured rows above it.
 *
 * @example
 * console.log(formatExperiment(await measureControlCost()));
 */
export async function measureControlCost(): Promise<ExperimentRow[]> {
  const rows: ExperimentRow[] = [];
  for (const count of PROCESS_COUNTS) rows.push(await measureCount(count));
  const names = Object.keys(rows[0].figures);
  const fits = names.map(name => {
    const values = rows.map(({figures}) => figures[name]);
    return [name, fitLine(PROCESS_COUNTS, values)] as const;
  });
  const slopes = fits.map(([name, {slope}]) => [name, slope] as const);
  const fitted = fits.map(
    ([name, {intercept, slope}]) =>
      [name, intercept + slope * EXTRAPOLATED_PROCESS_COUNT] as const,
  );
  return [
    ...rows,
    {name: 'slope a process', figures: Object.fromEntries(slopes)},
    {
      name: `fit at ${EXTRAPOLATED_PROCESS_COUNT}`,
      figures: Object.fromEntries(fitted),
    },
  ];
}

async function measureCount(count: number): Promise<ExperimentRow> {
  const launcher = new Launcher();
  try {
    const scenario = idleScenario({
      dataCentres: DATA_CENTRES,
      entriesPerDataCentre: Math.ceil(count / DATA_CENTRES.length),
      enginesPerDataCentre: 3,
      engine: {},
      maxConcurrency: 16,
    });
    const testBed = await startTestBed(launcher, scenario, 'tiered', count);
    await delay(SETTLE_MS);
    return {name: `${count} processes`, figures: await measureIdle(testBed)};
  } finally {
    await launcher.close();
  }
}

async function measureIdle(testBed: TestBed): Promise<Record<string, number>> {
  const pids = testBed.deployment.entries.map(entry => entry.process.pid);
  const callsBefore = await readCalls(testBed);
  const before = pids.map(readProcessUsage);
  await delay(MEASURED_MS);
  const rates = pids.map((pid, at) =>
    usageBetween(before[at], readProcessUsage(pid)),
  );
  const callsAfter = await readCalls(testBed);
  const seconds = MEASURED_MS / MS_PER_SECOND;
  const mean = (valueOf: (rate: UsageRate) => number): number =>
    meanOf(rates.map(valueOf));
  return {
    cpuPercent: mean(({cpuShare}) => cpuShare * 100),
    megabytes: mean(({residentMegabytes}) => residentMegabytes),
    readKbPerS: mean(({readKilobytesPerSecond}) => readKilobytesPerSecond),
    writtenKbPerS: mean(
      ({writtenKilobytesPerSecond}) => writtenKilobytesPerSecond,
    ),
    tableReadsPerS: (readsOf(callsAfter) - readsOf(callsBefore)) / seconds,
    tableWritesPerS:
      (callsAfter.transactions - callsBefore.transactions) / seconds,
  };
}

function readsOf(calls: CallCounts): number {
  return calls.reads + calls.scans;
}

async function readCalls(testBed: TestBed): Promise<CallCounts> {
  const log = got(`${testBed.platform.url}/control/log`);
  return (await log.json<{calls: CallCounts}>()).calls;
}
