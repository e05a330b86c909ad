/**
 * A network in a separate process, which a test can freeze. Takes its id, and
 * the id and address of another instance; prints a JSON line for each member
 * change.
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
// Exits with its parent, whose end closes this input.
process.stdin.on('end', () => process.exit(0));
process.stdin.resume();
