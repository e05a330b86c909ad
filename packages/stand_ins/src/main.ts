/** Runs one stand-in as a process of its own. */

import {Command} from 'commander';
import {
  EngineStandIn,
  type EngineStandInOptions,
} from './engine/engine_stand_in.js';
import {Link} from './link/link.js';
import type {EndpointProvisionerOptions} from './platform/endpoint_provisioner.js';
import {
  PlatformStandIn,
  type PlatformStandInOptions,
} from './platform/platform_stand_in.js';
import {ServiceStandIn} from './service/service_stand_in.js';

/** Options as the command line gives them. */
interface CommandOptions {
  readonly port: string;
  /** JSON with options of the class. */
  readonly options: string;
}

type StandIn = Pick<EngineStandIn, 'start' | 'stop' | 'url'>;

async function serve(standIns: readonly StandIn[]): Promise<void> {
  await Promise.all(standIns.map(standIn => standIn.start()));
  const urls = standIns.map(standIn => standIn.url);
  console.log(JSON.stringify({url: urls[0], urls}));
  const stop = (): void => {
    void Promise.all(standIns.map(standIn => standIn.stop())).then(() => {
      process.exitCode = 0;
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

interface PlatformCommandOptions extends CommandOptions {
  readonly token?: string;
  readonly engine?: string;
}

function provisioningBy(
  given: PlatformCommandOptions,
): EndpointProvisionerOptions {
  const {endpoints} = optionsOf<PlatformStandInOptions>(given);
  if (given.engine === undefined) return {...endpoints};
  const engine = JSON.parse(given.engine) as EngineStandInOptions;
  return {...endpoints, makeEndpoint: () => new EngineStandIn(engine)};
}

function addCommand(name: string, about: string): Command {
  return program
    .command(name)
    .description(about)
    .option('--port <number>', 'port to listen on, 0 for any', '0')
    .option('--options <json>', 'further options of the class', '{}');
}

function optionsOf<T>(given: CommandOptions): T {
  return {...JSON.parse(given.options), port: Number(given.port)} as T;
}

const program = new Command('stand_ins').description(
  'Stand-ins; each prints a line of JSON with its URL when it is ready.',
);
addCommand('platform', 'the platform')
  .option('--token <text>', 'bearer token that callers must show')
  .option('--engine <json>', 'carry orders out by engines with these options')
  .action(async (given: PlatformCommandOptions) => {
    const {token} = given;
    const endpoints = provisioningBy(given);
    await serve([new PlatformStandIn({...optionsOf(given), token, endpoints})]);
  });
addCommand('engine', 'one model engine').action(
  async (given: CommandOptions) => {
    await serve([new EngineStandIn(optionsOf(given))]);
  },
);
addCommand('engines', 'several model engines in one process')
  .option('--count <number>', 'how many', '8')
  .action(async (given: CommandOptions & {count: string}) => {
    const length = Number(given.count);
    const options = optionsOf<EngineStandInOptions>({...given, port: '0'});
    await serve(Array.from({length}, () => new EngineStandIn(options)));
  });
addCommand('service', 'a plain service')
  .option('--resource <name>', 'path of its records', 'bookings')
  .action(async (given: CommandOptions & {resource: string}) => {
    const {resource} = given;
    await serve([new ServiceStandIn({...optionsOf(given), resource})]);
  });
addCommand('link', 'a TCP relay')
  .requiredOption('--target-port <number>', 'port that it relays to')
  .action(async (given: CommandOptions & {targetPort: string}) => {
    const targetPort = Number(given.targetPort);
    await serve([new Link({...optionsOf(given), targetPort})]);
  });

await program.parseAsync();
