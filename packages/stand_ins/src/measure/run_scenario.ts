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
import {setStage, USAGE_SETTINGS, type Stage} from './stage.js';
import {
  checkUsage,
  type ReceivedReport,
  type UsageCheck,
} from './usage_check.js';

/** What a run gives. */
export interface ScenarioRun {
  readonly figures: RunFigures;
  readonly outcomes: readonly Outcome[];
}

/** Beyond the longest deadline, for refusals to arrive. */
const DRAIN_MARGIN_MS = 5000;
/** Beyond the windows themselves, for the reporter's rounds. */
const REPORT_MARGIN_MS = 2000;

/**
 * Sets the stage, sends the load, and reads what came of it.
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
    const stage = await setStage(launcher, scenario, policy);
    return await playOn(stage, scenario);
  } finally {
    await launcher.close();
  }
}

async function playOn(stage: Stage, scenario: Scenario): Promise<ScenarioRun> {
  const balancer = new Balancer({
    urls: stage.deployment.entries.map(({callersUrl}) => callersUrl),
  });
  balancer.start();
  const options = {
    balancer,
    accountKeys: stage.accountKeys,
    model: scenario.model,
    engineSeed: scenario.engines.options.seed ?? 0,
    drainMs: longestDeadlineMs(scenario) + DRAIN_MARGIN_MS,
  };
  const startedAtMs = performance.now();
  const stopEvents = scheduleEvents(stage, scenario.events ?? []);
  const [outcomes, serviceOutcomes] = await Promise.all([
    new Load(options).run(assembleArrivals(scenario)),
    new Load(options).runService(assembleServiceArrivals(scenario)),
  ]);
  stopEvents();
  balancer.stop();
  await Promise.all(stage.engines.map(readCounters));
  const engines = sumEngines(stage.engines, {
    fromMs: startedAtMs,
    toMs: performance.now(),
  });
  const usage = await readUsage(stage, outcomes);
  const serviceRecords = await readServiceRecords(stage);
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

/** What runs until then is the router's to end, not the measurement's. */
function longestDeadlineMs(scenario: Scenario): number {
  const deadlines = Object.values(scenario.classes).map(
    ({deadlineMs}) => deadlineMs,
  );
  return Math.max(...deadlines);
}

async function readUsage(
  stage: Stage,
  outcomes: readonly Outcome[],
): Promise<UsageCheck> {
  const {graceMs, windowMs} = USAGE_SETTINGS;
  await delay(windowMs + graceMs + REPORT_MARGIN_MS);
  const log = await got(`${stage.platform.url}/control/log`).json<{
    reports: ReceivedReport[];
  }>();
  return checkUsage(log.reports, outcomes);
}

async function readServiceRecords(
  stage: Stage,
): Promise<Array<{call: string}>> {
  const logs = await Promise.all(
    stage.services.map(({url}) =>
      got(`${url}/control/log`).json<{
        records: Array<{content: {call: string}}>;
      }>(),
    ),
  );
  return logs.flatMap(log => log.records).map(({content}) => content);
}
