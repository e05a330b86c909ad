import test from 'ava';
import {drawEvacuations} from './evacuations.js';

test('evacuations follow one another, the same for the same seed', t => {
  const options = {seed: 3, forMs: 60_000, dataCentres: 3};
  const faults = drawEvacuations(options);
  t.deepEqual(faults, drawEvacuations(options));
  t.true(faults.length > 3);
  faults.slice(1).forEach((fault, index) => {
    const before = faults[index];
    t.true(fault.atMs > before.atMs + before.durationMs);
  });
});

test('a single data centre is never evacuated', t => {
  t.deepEqual(drawEvacuations({seed: 3, forMs: 60_000, dataCentres: 1}), []);
});
