/** Measures the first-token latency that the router adds on an idle machine. */

import {Agent} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {streamCompletion} from '../client/stream_client.js';
import {Launcher} from '../launch/launcher.js';
import {
  EXPERIMENT_ACCOUNT,
  EXPERIMENT_MODEL,
  idleScenario,
  type ExperimentRow,
} from './experiment.js';
import {startTestBed} from './test_bed.js';

const CALL_COUNT = 600;
const WARM_UP_CALL_COUNT = 100;
const PAUSE_BEFORE_CALL_MS = 20;
const MAX_OUTPUT_TOKENS = 4;
const MICROSECONDS_PER_MS = 1000;

/**
 * Calls the engine alternately directly and through one entry process, one call
 * at a time, so that both see the same state of the machine. The direct row
 * shows the noise of the machine itself.
 *
 * @example
 * console.log(formatExperiment(await measureOverhead()));
 */
export async function measureOverhead(): Promise<ExperimentRow[]> {
  const launcher = new Launcher();
  const agent = new Agent({keepAlive: true});
  try {
    const scenario = idleScenario({
      dataCentres: ['akl-a'],
      entriesPerDataCentre: 1,
      enginesPerDataCentre: 1,
      engine: {batch: {betweenTokensMs: 5, prefillPerTokenMs: 0}},
      maxConcurrency: 16,
    });
    const testBed = await startTestBed(launcher, scenario, 'tiered');
    const key = testBed.accountKeys[EXPERIMENT_ACCOUNT];
    const headers = {authorization: `Bearer ${key}`};
    const routerUrl = testBed.deployment.entries[0].callersUrl;
    const direct = newHistogram();
    const routed = newHistogram();
    for (let call = 0; call < WARM_UP_CALL_COUNT + CALL_COUNT; call++) {
      const directMs = await firstTokenMs(testBed.engines[0].url, {}, agent);
      const routedMs = await firstTokenMs(routerUrl, headers, agent);
      if (call < WARM_UP_CALL_COUNT) continue;
      direct.recordValue(Math.round(directMs * MICROSECONDS_PER_MS));
      routed.recordValue(Math.round(routedMs * MICROSECONDS_PER_MS));
    }
    return rowsOf(direct, routed);
  } finally {
    agent.destroy();
    await launcher.close();
  }
}

async function firstTokenMs(
  url: string,
  headers: Readonly<Record<string, string>>,
  agent: Agent,
): Promise<number> {
  await delay(PAUSE_BEFORE_CALL_MS);
  const sentAtMs = performance.now();
  const result = await streamCompletion({
    url,
    headers,
    agent,
    body: {
      model: EXPERIMENT_MODEL,
      max_tokens: MAX_OUTPUT_TOKENS,
      messages: [{role: 'user', content: 'Patch a tent'}],
    },
  });
  if (!result.isComplete) {
    throw new Error(
      `Call failed: status ${result.status}, failure ${result.failure}`,
    );
  }
  return result.tokenTimesMs[0] - sentAtMs;
}

function rowsOf(direct: Histogram, routed: Histogram): ExperimentRow[] {
  const at = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  const figures = (valueAt: (percentile: number) => number) => ({
    p50Ms: valueAt(50),
    p90Ms: valueAt(90),
    p99Ms: valueAt(99),
  });
  return [
    {name: 'direct', figures: figures(each => at(direct, each))},
    {name: 'router', figures: figures(each => at(routed, each))},
    {
      name: 'added',
      figures: figures(each => at(routed, each) - at(direct, each)),
    },
  ];
}

function newHistogram(): Histogram {
  return buildHistogram({numberOfSignificantValueDigits: 3});
}
