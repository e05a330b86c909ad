import test from 'ava';
import {runSoak} from './soak.js';
import {buildProgram} from './world/program.js';

test('a short run of real processes under random faults keeps all promises', async t => {
  // Kills, stops, cuts and a store that fails overlap for some seconds, while
  // callers keep their connections. Whatever goes wrong shows to a caller, an
  // endpoint or the provider.
  t.timeout(120_000);
  const program = await buildProgram();
  const {findings, history, faults} = await runSoak({
    seed: 1,
    program,
    faultsForMs: 6000,
    seriesEveryMs: 900,
    instances: 3,
    dataCentres: 1,
    engines: 3,
    services: 3,
    requestsPerS: 25,
  });
  t.deepEqual(findings, []);
  t.true(faults.length > 0);
  t.true(history.requests.length > 100);
});
