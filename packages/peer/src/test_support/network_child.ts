/**
 * A network in a process of its own, to be frozen. Takes its id and the
 * address of one other instance; prints a JSON line for each change it sees.
 */

import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import {startNetwork} from './networks.js';

const [id, otherId, otherAddress] = process.argv.slice(2);

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

const network = await startNetwork({teardown: () => undefined}, id);
network.onMembersChanged(changes => {
  for (const {member} of changes) print({id: member.id, state: member.state});
});
network.seed([
  {
    id: otherId as InstanceId,
    dataCentre: 'akl-a' as DataCentreId,
    peerAddress: otherAddress,
    state: 'live',
  },
]);
// The test ends it by closing its input.
process.stdin.on('end', () => process.exit(0));
process.stdin.resume();
