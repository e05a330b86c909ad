/** Runs stand-ins as a process of their own. */

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

/** Options as parsed from the command line. */
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

function provisionerOptionsOf(
  commandOptions: PlatformCommandOptions,
): EndpointProvisionerOptions {
  const {endpoints} = optionsOf<PlatformStandInOptions>(commandOptions);
  if (commandOptions.engine === undefined) return {...endpoints};
  const engine = JSON.parse(commandOptions.engine) as EngineStandInOptions;
  return {...endpoints, makeEndpoint: () => new EngineStandIn(engine)};
}

function addCommand(name: string, about: string): Command {
  return program
    .command(name)
    .description(about)
    .option('--port <number>', 'port to listen on, 0 for any', '0')
    .option('--options <json>', 'further options of the class', '{}');
}

function optionsOf<T>(commandOptions: CommandOptions): T {
  return {
    ...JSON.parse(commandOptions.options),
    port: Number(commandOptions.port),
  } as T;
}

const program = new Command('stand_ins').description(
  'Stand-ins; each prints a line of JSON with its URL when it is ready.',
);
addCommand('platform', 'the platform')
  .option('--token <text>', 'bearer token that callers must show')
  .option(
    '--engine <json>',
    'start engines with these options for endpoint orders',
  )
  .action(async (commandOptions: PlatformCommandOptions) => {
    const {token} = commandOptions;
    const endpoints = provisionerOptionsOf(commandOptions);
    await serve([
      new PlatformStandIn({...optionsOf(commandOptions), token, endpoints}),
    ]);
  });
addCommand('engine', 'one model engine').action(
  async (commandOptions: CommandOptions) => {
    await serve([new EngineStandIn(optionsOf(commandOptions))]);
  },
);
addCommand('engines', 'several model engines in one process')
  .option('--count <number>', 'how many', '8')
  .action(async (commandOptions: CommandOptions & {count: string}) => {
    const length = Number(commandOptions.count);
    const options = optionsOf<EngineStandInOptions>({
      ...commandOptions,
      port: '0',
    });
    await serve(Array.from({length}, () => new EngineStandIn(options)));
  });
addCommand('service', 'a plain service')
  .option('--resource <name>', 'path of its records', 'bookings')
  .action(async (commandOptions: CommandOptions & {resource: string}) => {
    const {resource} = commandOptions;
    await serve([new ServiceStandIn({...optionsOf(commandOptions), resource})]);
  });
addCommand('link', 'a TCP relay')
  .requiredOption('--target-port <number>', 'port that it relays to')
  .action(async (commandOptions: CommandOptions & {targetPort: string}) => {
    const targetPort = Number(commandOptions.targetPort);
    await serve([new Link({...optionsOf(commandOptions), targetPort})]);
  });

await program.parseAsync();
