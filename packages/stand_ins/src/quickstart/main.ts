/** Starts all processes on this machine, makes sample calls and stays up. */

import {Command} from 'commander';
import {Launcher} from '../launch/launcher.js';
import {describeNextSteps} from './next_steps.js';
import {makeSampleCalls} from './sample_calls.js';
import {readSampleTicket} from './sample_ticket.js';
import {startEnvironment, type QuickstartEnvironment} from './environment.js';

const SAMPLE_TICKETS = ['kowhai_ticket', 'trilha_ticket'];

async function submitSamples(
  launcher: Launcher,
  {deployment, operatorKey, sampleValues}: QuickstartEnvironment,
): Promise<boolean> {
  let allAccepted = true;
  for (const name of SAMPLE_TICKETS) {
    const file = launcher.writeFile(readSampleTicket(name, sampleValues));
    const {adminUrl} = deployment.entries[0];
    const result = await launcher.runCommand(
      ['ticket', 'submit', file, '--admin-url', adminUrl],
      {env: {SNIPESTAGE_OPERATOR_KEY: operatorKey}},
    );
    console.log(`snipestage ticket submit samples/${name}.json`);
    console.log(`  ${(result.stdout + result.stderr).trim()}`);
    allAccepted &&= result.code === 0;
  }
  return allAccepted;
}

async function runSamples(
  launcher: Launcher,
  environment: QuickstartEnvironment,
): Promise<boolean> {
  const accepted = await submitSamples(launcher, environment);
  if (!accepted) return false;
  await environment.deployment.waitForRevision(SAMPLE_TICKETS.length);
  const outcomes = await makeSampleCalls(environment);
  for (const {detail, ok, title} of outcomes) {
    console.log(`${ok ? 'ok' : 'NOT OK'}: ${title}\n  ${detail}`);
  }
  return outcomes.every(({ok}) => ok);
}

async function run(options: {readonly once?: boolean}): Promise<void> {
  const launcher = new Launcher();
  const close = (): void => void launcher.close();
  process.once('SIGINT', close);
  process.once('SIGTERM', close);
  try {
    console.log('Starting stand-ins and three entry processes ...');
    const environment = await startEnvironment(launcher);
    const allOk = await runSamples(launcher, environment);
    if (options.once === true) {
      process.exitCode = allOk ? 0 : 1;
      await launcher.close();
      return;
    }
    console.log(`\n${describeNextSteps(environment)}\n\nCtrl-C ends it all.`);
  } catch (error) {
    await launcher.close();
    throw error;
  }
}

await new Command('quickstart')
  .description('Runs snipestage with stand-ins on this machine.')
  .option('--once', 'end after the sample calls; 0 when all went well')
  .action(run)
  .parseAsync();
