import test from 'ava';
import {drawStopTurns} from './stop_turns.js';

const DATA_CENTRES = [
  [0, 2, 4],
  [1, 3, 5],
];

test('the instances of one data centre stop in turn, within one grace time', t => {
  // When fewer than half of a data centre's instances are in rotation, the
  // balancer also uses stopping ones: callers reach them seconds after their
  // signal. Guards against stops too far apart to bring that about.
  const stops = drawStopTurns({
    seed: 7,
    forMs: 10_000,
    dataCentres: DATA_CENTRES,
    everyMs: 60_000,
  });
  const [home] = DATA_CENTRES.filter(all => all.includes(stops[0].target));
  t.true(stops.length >= home.length - 1);
  t.true(stops.every(({target}) => home.includes(target)));
  t.is(new Set(stops.map(({target}) => target)).size, stops.length);
  t.true(stops.at(-1)!.atMs - stops[0].atMs < 3000);
});

test('some turns leave one instance running and some none', t => {
  const stops = drawStopTurns({
    seed: 1,
    forMs: 1_000_000,
    dataCentres: [[0, 1, 2]],
  });
  const turns = stops.filter(
    ({atMs}, index) => atMs - (stops[index - 1]?.atMs ?? -10_000) > 3000,
  );
  t.true(stops.length > 2 * turns.length);
  t.true(stops.length < 3 * turns.length);
});

test('the same seed gives the same turns, another one others', t => {
  const options = {seed: 7, forMs: 60_000, dataCentres: DATA_CENTRES};
  t.deepEqual(drawStopTurns(options), drawStopTurns(options));
  t.notDeepEqual(drawStopTurns(options), drawStopTurns({...options, seed: 8}));
});
