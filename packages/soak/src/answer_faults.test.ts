import test from 'ava';
import {areOthersFull, drawAnswerFaults} from './answer_faults.js';
import {
  EARLY_ANSWER,
  ENGINE_FLOOD,
  ENGINE_PAUSE,
  LATE_STREAMS,
  ODD_STATUS,
} from './fault_plan.js';

test('a seed always draws the same faults, each kind its own', t => {
  const kinds = [
    ENGINE_PAUSE,
    ENGINE_FLOOD,
    ODD_STATUS,
    LATE_STREAMS,
    EARLY_ANSWER,
  ] as const;
  const draw = (kind: (typeof kinds)[number]) =>
    drawAnswerFaults({kind, seed: 7, forMs: 20_000});
  for (const kind of kinds) t.deepEqual(draw(kind), draw(kind));
  const starts = kinds.map(kind =>
    draw(kind)
      .map(({target}) => target)
      .join(),
  );
  t.is(new Set(starts).size, kinds.length);
});

test('the other engines are full beside some pauses only', t => {
  t.true(areOthersFull({kind: ENGINE_PAUSE, target: 3}));
  t.false(areOthersFull({kind: ENGINE_PAUSE, target: 4}));
  t.false(areOthersFull({kind: ENGINE_FLOOD, target: 3}));
});
