/** Runs one scenario under one policy. */

import {setTimeout as delay} from 'node:timers/promises';
import type {PolicyName} from '@snipestage/policy/policy_set.js';
import got from 'got';
import {Launcher} from '../launch/launcher.js';
import {scheduleEvents} from './actions.js';
import {assembleArrivals, assembleServiceArrivals} from './arrivals.js';
import {Balancer} from './balancer.js';
import {readCounters, sumEngines} from './engine_totals.js';
import {assembleFigures, type RunFigures} from './figures.js';
import {Load, type Outcome} from './load.js';
import type {Scenario} from './scenario.js';
import {startTestBed, USAGE_SETTINGS, type TestBed} from './test_bed.js';
import {
  checkUsage,
  type ReceivedReport,
  type UsageCheck,
} from './usage_check.js';

/** Result of a run. */
export interface ScenarioRun {
  readonly figures: RunFigures;
  readonly outcomes: readonly Outcome[];
}

/** Added to the longest deadline, so that refusals can still arrive. */
const DRAIN_MARGIN_MS = 5000;
/** Added to the usage window and its grace time, for the reporter's rounds. */
const REPORT_MARGIN_MS = 2000;

/**
 * Starts the test bed, sends the load and computes the figures.
 *
 * @example
 * const {figures} = await runScenario(scenario, 'tiered');
 */
export async function runScenario(
  scenario: Scenario,
  policy: PolicyName,
): Promise<ScenarioRun> {
  const launcher = new Launcher();
  try {
    const testBed = await startTestBed(launcher, scenario, policy);
    return await runIn(testBed, scenario);
  } finally {
    await launcher.close();
  }
}

async function runIn(
  testBed: TestBed,
  scenario: Scenario,
): Promise<ScenarioRun> {
  const balancer = new Balancer({
    urls: testBed.deployment.entries.map(({callersUrl}) => callersUrl),
  });
  balancer.start();
  const options = {
    balancer,
    accountKeys: testBed.accountKeys,
    model: scenario.model,
    engineSeed: scenario.engines.options.seed ?? 0,
    drainMs: longestDeadlineMs(scenario) + DRAIN_MARGIN_MS,
  };
  const startedAtMs = performance.now();
  const stopEvents = scheduleEvents(testBed, scenario.events ?? []);
  const [outcomes, serviceOutcomes] = await Promise.all([
    new Load(options).run(assembleArrivals(scenario)),
    new Load(options).runService(assembleServiceArrivals(scenario)),
  ]);
  stopEvents();
  balancer.stop();
  await Promise.all(testBed.engines.map(readCounters));
  const engines = sumEngines(testBed.engines, {
    fromMs: startedAtMs,
    toMs: performance.now(),
  });
  const usage = await readUsage(testBed, outcomes);
  const serviceRecords = await readServiceRecords(testBed);
  const figures = assembleFigures({
    scenario,
    outcomes,
    serviceOutcomes,
    serviceRecords,
    engines,
    usage,
  });
  return {figures, outcomes};
}

/** Up to this deadline the router ends requests, not the measurement. */
function longestDeadlineMs(scenario: Scenario): number {
  const deadlines = Object.values(scenario.classes).map(
    ({deadlineMs}) => deadlineMs,
  );
  return Math.max(...deadlines);
}

async function readUsage(
  testBed: TestBed,
  outcomes: readonly Outcome[],
): Promise<UsageCheck> {
  const {graceMs, windowMs} = USAGE_SETTINGS;
  await delay(windowMs + graceMs + REPORT_MARGIN_MS);
  const log = await got(`${testBed.platform.url}/control/log`).json<{
    reports: ReceivedReport[];
  }>();
  return checkUsage(log.reports, outcomes);
}

async function readServiceRecords(
  testBed: TestBed,
): Promise<Array<{call: string}>> {
  const logs = await Promise.all(
    testBed.services.map(({url}) =>
      got(`${url}/control/log`).json<{
        records: Array<{content: {call: string}}>;
      }>(),
    ),
  );
  return logs.flatMap(log => log.records).map(({content}) => content);
}
