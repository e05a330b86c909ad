/** What an idle entry process costs, by how many there are. */

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
import {setStage, type Stage} from './stage.js';

const COUNTS = [9, 20, 40];
const TARGET_COUNT = 380;
const SETTLE_MS = 10_000;
const MEASURED_MS = 15_000;
const MS_PER_SECOND = 1000;
const DATA_CENTRES = ['akl-a', 'akl-b', 'akl-c'];

/**
 * Means over the processes at each count, and straight lines through them drawn
 * on to 380. A line is a guess where the cost is not linear: read it with the
 * three rows above it.
 *
 * @example
 * console.log(formatExperiment(await measureControlCost()));
 */
export async function measureControlCost(): Promise<ExperimentRow[]> {
  const rows: ExperimentRow[] = [];
  for (const count of COUNTS) rows.push(await measureCount(count));
  const names = Object.keys(rows[0].figures);
  const fits = names.map(name => {
    const values = rows.map(({figures}) => figures[name]);
    return [name, fitLine(COUNTS, values)] as const;
  });
  const slopes = fits.map(([name, {slope}]) => [name, slope] as const);
  const fitted = fits.map(
    ([name, {intercept, slope}]) =>
      [name, intercept + slope * TARGET_COUNT] as const,
  );
  return [
    ...rows,
    {name: 'slope a process', figures: Object.fromEntries(slopes)},
    {name: `fit at ${TARGET_COUNT}`, figures: Object.fromEntries(fitted)},
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
    const stage = await setStage(launcher, scenario, 'tiered', count);
    await delay(SETTLE_MS);
    return {name: `${count} processes`, figures: await measureIdle(stage)};
  } finally {
    await launcher.close();
  }
}

async function measureIdle(stage: Stage): Promise<Record<string, number>> {
  const pids = stage.deployment.entries.map(entry => entry.process.pid);
  const callsBefore = await readCalls(stage);
  const before = pids.map(readProcessUsage);
  await delay(MEASURED_MS);
  const rates = pids.map((pid, at) =>
    usageBetween(before[at], readProcessUsage(pid)),
  );
  const callsAfter = await readCalls(stage);
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

async function readCalls(stage: Stage): Promise<CallCounts> {
  const log = got(`${stage.platform.url}/control/log`);
  return (await log.json<{calls: CallCounts}>()).calls;
}
