import test from 'ava';
import {chooseKilled, drawMassKills} from './mass_kills.js';

test('a third of the instances are killed at once', t => {
  t.deepEqual(chooseKilled(8, 6), [6, 7, 0]);
  t.is(new Set(chooseKilled(62, 41)).size, 22);
});

test('a seed always draws the same kills', t => {
  const options = {seed: 7, forMs: 20_000};
  t.deepEqual(drawMassKills(options), drawMassKills(options));
  t.true(drawMassKills(options).length > 0);
});
