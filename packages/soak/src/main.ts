/** Command line of the soak. */

import {Command} from 'commander';
import type {FaultKind} from './fault_plan.js';
import type {Mutant} from './mutant.js';
import {MUTANTS} from './mutations.js';
import {parseCount} from './parse_count.js';
import {REGRESSIONS} from './regressions.js';
import {runSoak, type SoakResult} from './soak.js';
import {writeTrace} from './trace.js';
import {buildProgram} from './world/program.js';

const PRINTED_FINDINGS = 12;
const SECOND_MS = 1000;
/** Mutants run under a few kinds of faults, which are applied more often. */
const MUTANT_SERIES_EVERY_MS = 900;
const ALL = 'all';

/** Prints the result of a run. @returns whether nothing was found. */
function report(result: SoakResult): boolean {
  const {seed, findings, history, faults, startedAtMs} = result;
  const served = history.requests.filter(
    ({outcome}) => outcome?.kind === 'answered' && outcome.status === 200,
  );
  console.log(
    `seed ${seed}: ${findings.length} findings; ` +
      `${served.length} of ${history.requests.length} served, ` +
      `${history.ends.length} ends of processes, ${faults.length} faults, ` +
      `${history.dutyCalls.length} calls of duties`,
  );
  for (const {check, message, atMs, requestId} of findings.slice(
    0,
    PRINTED_FINDINGS,
  )) {
    const sinceMs = Math.round(atMs - startedAtMs);
    console.log(`  ${sinceMs} ms ${check}: ${message} ${requestId ?? ''}`);
  }
  if (findings.length > 0) {
    for (const line of faults) console.log(`    ${line}`);
  }
  return findings.length === 0;
}

interface Options {
  readonly seed: number;
  readonly runs: number;
  readonly seconds: number;
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  readonly dataCentres: number;
  readonly rate: number;
  readonly quota?: number;
  readonly direct?: boolean;
  readonly mutant?: string;
  readonly regressions?: boolean;
  readonly trace?: string;
  readonly kinds?: string;
}

/** Runs one mutant. @returns whether its check has found it. */
async function runMutant(mutant: Mutant, options: Options): Promise<boolean> {
  const {findings} = await runSoak({
    ...sizesOf(options),
    ...(mutant.faultsForMs === undefined
      ? {}
      : {faultsForMs: mutant.faultsForMs}),
    ...(mutant.quotaMs === undefined ? {} : {quotaMs: mutant.quotaMs}),
    ...(mutant.connectsDirectly === undefined
      ? {}
      : {connectsDirectly: mutant.connectsDirectly}),
    seed: options.seed,
    program: await buildProgram(mutant),
    kinds: mutant.kinds,
    seriesEveryMs: mutant.seriesEveryMs ?? MUTANT_SERIES_EVERY_MS,
  });
  const {findingPattern = /./} = mutant;
  const own = findings.filter(
    ({check, message}) =>
      check === mutant.check && findingPattern.test(message),
  );
  const verdict = own.length > 0 ? `found ${own.length} times` : 'MISSED';
  console.log(`${mutant.name}: ${verdict} by ${mutant.check}`);
  for (const {check, message} of [...own, ...findings].slice(0, 2)) {
    console.log(`  ${check}: ${message}`);
  }
  return own.length > 0;
}

async function runMutants(options: Options): Promise<boolean> {
  const chosen = MUTANTS.filter(
    ({name}) => options.mutant === ALL || options.mutant === name,
  );
  let areFound = chosen.length > 0;
  for (const mutant of chosen) {
    areFound = (await runMutant(mutant, options)) && areFound;
  }
  return areFound;
}

async function runRegressions(): Promise<boolean> {
  const program = await buildProgram();
  let isClean = true;
  for (const {options, check} of REGRESSIONS) {
    console.log(`once found by ${check}:`);
    const result = await runSoak({...options, program});
    isClean = report(result) && isClean;
  }
  return isClean;
}

async function runSeeds(options: Options): Promise<boolean> {
  const program = await buildProgram();
  let isClean = true;
  for (let run = 0; run < options.runs; run += 1) {
    const seed = options.seed + run;
    const result = await runSoak({...sizesOf(options), seed, program});
    isClean = report(result) && isClean;
    if (options.trace !== undefined) writeTrace(options.trace, result);
  }
  return isClean;
}

function sizesOf(options: Options) {
  return {
    faultsForMs: options.seconds * SECOND_MS,
    instances: options.instances,
    engines: options.engines,
    services: options.services,
    dataCentres: options.dataCentres,
    requestsPerS: options.rate,
    quotaMs: options.quota,
    connectsDirectly: options.direct,
    kinds: options.kinds?.split(',') as FaultKind[] | undefined,
  };
}

async function main(): Promise<void> {
  const command = new Command('soak')
    .description('Runs real processes under random faults and checks them.')
    .option('--seed <number>', 'first seed', parseCount, 1)
    .option('--runs <number>', 'runs, each with the next seed', parseCount, 1)
    .option('--seconds <number>', 'how long faults come', parseCount, 20)
    .option('--instances <number>', 'processes of the program', parseCount, 6)
    .option('--engines <number>', 'model engines', parseCount, 6)
    .option(
      '--services <number>',
      'endpoints of the plain service',
      parseCount,
      4,
    )
    .option(
      '--data-centres <number>',
      'data centres, at most four',
      parseCount,
      2,
    )
    .option('--rate <number>', 'requests a second', parseCount, 60)
    .option(
      '--quota <number>',
      'processor time of most instances in each 100 ms (not limited)',
      parseCount,
    )
    .option('--direct', 'callers connect without a proxy in between')
    .option('--mutant <name>', `run a program with a seeded fault, or ${ALL}`)
    .option('--kinds <names>', 'kinds of faults, separated by commas (all)')
    .option('--regressions', 'the runs that once found something')
    .option('--trace <folder>', 'where to keep the logs of runs with findings')
    .parse();
  const options = command.opts<Options>();
  process.exitCode = (await run(options)) ? 0 : 1;
}

function run(options: Options): Promise<boolean> {
  if (options.regressions === true) return runRegressions();
  if (options.mutant !== undefined) return runMutants(options);
  return runSeeds(options);
}

await main();
