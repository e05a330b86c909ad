import {InputError} from '@snipestage/errors/request_error.js';
import test from 'ava';
import {checkEntrySettings} from './read_settings.js';

const VALID = {
  instance: 'akl-a-1',
  dataCentre: 'akl-a',
  region: 'nz-north',
  callers: {port: 8080},
  admin: {port: 8081, operatorKeyHashes: [`sha256:${'0'.repeat(64)}`]},
  peer: {port: 8082, sharedSecret: 'a secret of the peers'},
  platform: {url: 'http://127.0.0.1:9000', token: 'token'},
};

test('defaults are filled in', t => {
  const settings = checkEntrySettings(VALID);
  t.is(settings.routing.policy, 'tiered');
  t.is(settings.lease.termMs, 6000);
});

test('all faults are reported together, each with its path', t => {
  const error = t.throws(
    () =>
      checkEntrySettings({
        ...VALID,
        callers: {port: 80_000, prot: 1},
        dataCentre: 'AKL A',
      }),
    {instanceOf: InputError},
  );
  const paths = error.faults.map(fault => fault.path).sort();
  t.deepEqual(paths, ['callers.port', 'callers.prot', 'dataCentre']);
});

// A lease with a term that is too short expires between two renewals: its role
// would move from instance to instance without getting any work done.
test('settings that contradict each other are reported', t => {
  const error = t.throws(
    () =>
      checkEntrySettings({
        ...VALID,
        lease: {termMs: 2000},
        peer: {...VALID.peer, heartbeatMs: 3000, deadAfterMs: 1000},
      }),
    {instanceOf: InputError},
  );
  t.deepEqual(error.faults.map(fault => fault.path).sort(), [
    'lease.termMs',
    'peer.heartbeatMs',
    'peer.suspectAfterMs',
  ]);
});
