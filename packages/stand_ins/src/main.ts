/** Runs one stand-in as a process of its own. */

import {Command} from 'commander';
import {EngineStandIn} from './engine/engine_stand_in.js';
import {Link} from './link/link.js';
import {PlatformStandIn} from './platform/platform_stand_in.js';
import {ServiceStandIn} from './service/service_stand_in.js';

interface PortOption {
  readonly port: string;
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

function addCommand(name: string, about: string): Command {
  return program
    .command(name)
    .description(about)
    .option('--port <number>', 'port to listen on, 0 for any', '0');
}

const program = new Command('stand_ins').description(
  'Stand-ins; each prints a line of JSON with its URL when it is ready.',
);
addCommand('platform', 'the platform')
  .option('--token <text>', 'bearer token that callers must show')
  .action(async (options: PortOption & {token?: string}) => {
    const {port, token} = options;
    await serve([new PlatformStandIn({port: Number(port), token})]);
  });
addCommand('engine', 'one model engine').action(async (options: PortOption) => {
  await serve([new EngineStandIn({port: Number(options.port)})]);
});
program
  .command('engines')
  .description('several model engines in one process')
  .option('--count <number>', 'how many', '8')
  .action(async (options: {count: string}) => {
    const length = Number(options.count);
    await serve(Array.from({length}, () => new EngineStandIn()));
  });
addCommand('service', 'a plain service')
  .option('--resource <name>', 'path of its records', 'bookings')
  .action(async (options: PortOption & {resource: string}) => {
    const {port, resource} = options;
    await serve([new ServiceStandIn({port: Number(port), resource})]);
  });
addCommand('link', 'a TCP relay')
  .requiredOption('--target-port <number>', 'port that it relays to')
  .action(async (options: PortOption & {targetPort: string}) => {
    const {port, targetPort} = options;
    const ports = {port: Number(port), targetPort: Number(targetPort)};
    await serve([new Link(ports)]);
  });

await program.parseAsync();
