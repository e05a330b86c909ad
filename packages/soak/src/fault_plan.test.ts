import test from 'ava';
import {drawFaultPlan, FAULT_KINDS} from './fault_plan.js';

test('the same seed gives the same faults, another one others', t => {
  const options = {seed: 7, forMs: 60_000};
  t.deepEqual(drawFaultPlan(options), drawFaultPlan(options));
  t.notDeepEqual(drawFaultPlan({...options, seed: 8}), drawFaultPlan(options));
});

test('series of one kind overlap with those of others', t => {
  const plan = drawFaultPlan({seed: 1, forMs: 60_000});
  const overlaps = plan.some((fault, index) => {
    const next = plan[index + 1];
    const isOther = next !== undefined && next.kind !== fault.kind;
    return isOther && next.atMs < fault.atMs + fault.durationMs;
  });
  t.true(overlaps);
  t.true(plan.every(({atMs}) => atMs < 60_000));
});

test('a long plan contains every kind of fault', t => {
  const plan = drawFaultPlan({seed: 3, forMs: 3_000_000});
  const kinds = new Set(plan.map(({kind}) => kind));
  t.is(kinds.size, FAULT_KINDS.length);
});
