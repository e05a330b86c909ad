/**
 * One process of the measurement: a network that executes the commands on its
 * standard input, one JSON line each, and answers each with its figures.
 */

import {createInterface} from 'node:readline';
import type {
  AttemptId,
  DataCentreId,
  EndpointId,
  InstanceId,
  Revision,
} from '@snipestage/types/ids.js';
import type {ListedInstance} from '@snipestage/types/platform_messages.js';
import {ConfigurationSpread} from './configuration_spread.js';
import {PeerNetwork} from './peer_network.js';

/** The size of a configuration of a few hundred objects. */
const PAYLOAD = Buffer.alloc(100_000, 'x');
const BYTES_PER_MB = 1024 * 1024;
const BUSY_PEER_COUNT = 2;
/** Default values of the settings. */
const SETTINGS = {
  host: '127.0.0.1',
  port: 0,
  sharedSecret: 'a secret of the peers',
  tickMs: 50,
  heartbeatMs: 500,
  suspectAfterMs: 2000,
  deadAfterMs: 5000,
};

type Command =
  | {readonly kind: 'seed'; readonly instances: ListedInstance[]}
  | {readonly kind: 'read'}
  | {readonly kind: 'push'; readonly revision: Revision}
  | {readonly kind: 'busy'; readonly records: number; readonly tickMs: number};

const [id, dataCentre] = process.argv.slice(2);
const network = new PeerNetwork({
  settings: SETTINGS,
  id: id as InstanceId,
  dataCentre: dataCentre as DataCentreId,
});
const inForceEpochMs: {[revision: number]: number} = {};
const spread = new ConfigurationSpread({
  network,
  getPayload: () => PAYLOAD,
  applyPayload: revision => {
    inForceEpochMs[revision] = Date.now();
    return true;
  },
});

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

/**
 * Sends `records` grants each tick to each of two instances of the data centre.
 */
function startBusy(records: number, tickMs: number): void {
  const grant = {
    attempt: '0123456789abcdef' as AttemptId,
    endpoint: 'akl-a-repair-1' as EndpointId,
  };
  const peers = network
    .members()
    .filter(member => member.dataCentre === dataCentre && member.id !== id)
    .slice(0, BUSY_PEER_COUNT);
  setInterval(() => {
    for (const peer of peers) {
      for (let n = 0; n < records; n += 1) {
        network.send(peer.id, {kind: 'grant', grant});
      }
    }
  }, tickMs);
}

function execute(command: Command): void {
  if (command.kind === 'seed') network.seed(command.instances);
  if (command.kind === 'busy') startBusy(command.records, command.tickMs);
  if (command.kind === 'push') {
    inForceEpochMs[command.revision] = Date.now();
    spread.push(command.revision);
  }
}

function read(): object {
  const {user, system} = process.cpuUsage();
  const snapshot = network.snapshot();
  const {framesSent, framesReceived, bytesSent, bytesReceived} = snapshot;
  return {
    cpuMs: (user + system) / 1000,
    framesSent,
    framesReceived,
    bytesSent,
    bytesReceived,
    memoryMb: process.memoryUsage.rss() / BYTES_PER_MB,
    alive: snapshot.members.filter(({state}) => state === 'alive').length,
    inForceEpochMs,
  };
}

await network.start();
print({peerAddress: network.address()});
const lines = createInterface(process.stdin);
lines.on('line', line => {
  execute(JSON.parse(line) as Command);
  print(read());
});
// Must not outlive the process that measures.
lines.on('close', () => process.exit(0));
