/**
 * Command that measures scenarios and experiments, with real entry processes
 * against the stand-ins.
 */

import {writeFileSync} from 'node:fs';
import type {PolicyName} from '@snipestage/policy/policy_set.js';
import {Command, Option} from 'commander';
import {measureCapacity} from './capacity.js';
import {measureControlCost} from './control_cost.js';
import {formatExperiment, type ExperimentRow} from './experiment.js';
import type {RunFigures} from './figures.js';
import {measureOverhead} from './overhead.js';
import {runScenario} from './run_scenario.js';
import type {Scenario} from './scenario.js';
import {SCENARIOS} from './scenarios.js';
import {drawAttainment, type Panel} from './svg.js';
import {assembleRows, formatRows} from './table.js';

interface MeasureOptions {
  readonly scenario: string;
  readonly policy?: PolicyName;
  readonly runs: string;
  readonly json?: boolean;
  readonly svg?: string;
}

const POLICIES: readonly PolicyName[] = [
  'tiered',
  'round_robin',
  'least_in_flight',
];

const EXPERIMENTS: ReadonlyMap<string, () => Promise<ExperimentRow[]>> =
  new Map([
    ['overhead', measureOverhead],
    ['capacity', measureCapacity],
    ['control_cost', measureControlCost],
  ]);

async function measureScenario(
  scenario: Scenario,
  options: MeasureOptions,
): Promise<void> {
  const policies = options.policy === undefined ? POLICIES : [options.policy];
  const runs: Record<string, RunFigures[]> = {};
  const panels: Panel[] = [];
  for (let run = 1; run <= Number(options.runs); run++) {
    for (const policy of policies) {
      console.error(`${scenario.name}: run ${run}, ${policy}`);
      const {figures, outcomes} = await runScenario(scenario, policy);
      if (run === 1) panels.push({title: policy, outcomes});
      runs[policy] = [...(runs[policy] ?? []), figures];
    }
  }
  if (options.svg !== undefined) {
    writeFileSync(options.svg, drawAttainment(scenario, panels));
  }
  if (options.json === true) {
    console.log(JSON.stringify({scenario: scenario.name, runs}, null, 2));
    return;
  }
  console.log(`${scenario.name}: ${scenario.about}`);
  console.log(formatRows(assembleRows(runs)));
}

async function measureExperiment(
  run: () => Promise<ExperimentRow[]>,
  options: MeasureOptions,
): Promise<void> {
  for (let number = 1; number <= Number(options.runs); number++) {
    const rows = await run();
    console.log(
      options.json === true
        ? JSON.stringify({experiment: options.scenario, rows}, null, 2)
        : formatExperiment(rows),
    );
  }
}

async function measure(options: MeasureOptions): Promise<void> {
  const experiment = EXPERIMENTS.get(options.scenario);
  if (experiment !== undefined) {
    await measureExperiment(experiment, options);
    return;
  }
  const scenario = SCENARIOS.get(options.scenario);
  if (scenario === undefined) {
    const names = [...SCENARIOS.keys(), ...EXPERIMENTS.keys()].join(', ');
    throw new Error(
      `Unknown scenario ${options.scenario}; known ones: ${names}.`,
    );
  }
  await measureScenario(scenario, options);
}

await new Command('measure')
  .description('Measures the router against stand-ins on this machine.')
  .requiredOption('--scenario <name>', 'scenario or experiment to measure')
  .addOption(
    new Option(
      '--policy <name>',
      'measure only this policy; by default all three, side by side',
    ).choices(POLICIES),
  )
  .option('--runs <number>', 'number of runs; medians are shown', '1')
  .option('--svg <file>', 'draw the attainment of the first run over time')
  .option('--json', 'print all figures of all runs')
  .action(measure)
  .parseAsync();
