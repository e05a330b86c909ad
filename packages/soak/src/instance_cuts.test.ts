import test from 'ava';
import {drawInstanceCuts, readInstanceCut} from './instance_cuts.js';

test('a cut affects some instances, or most or all of a data centre', t => {
  const places = [
    [0, 1, 2],
    [3, 4, 5],
  ];
  const cuts = Array.from({length: 36}, (_, target) =>
    readInstanceCut(target, places),
  );
  const sizes = new Set(cuts.map(({instances}) => instances.length));
  t.deepEqual([...sizes].sort(), [2, 3]);
  const states = new Set(cuts.map(({state}) => state));
  t.deepEqual([...states].sort(), ['hang', 'refuse_new', 'reset']);
  const touched = new Set(cuts.flatMap(({instances}) => instances));
  t.is(touched.size, 6);
});

test('cuts last longer than instances may take to serve again', t => {
  const cuts = drawInstanceCuts({seed: 7, forMs: 60_000});
  t.true(cuts.length > 2);
  t.true(cuts.every(({durationMs}) => durationMs >= 6000));
});
