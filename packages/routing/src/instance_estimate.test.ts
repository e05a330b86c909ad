import test from 'ava';
import {InstanceEstimate} from './instance_estimate.js';

const estimate = new InstanceEstimate({dataCentres: 5, relaysPayFrom: 30});

test('a large deployment knows its size seconds after the start', t => {
  // Guards against every instance polling the store until a window was counted.
  t.is(estimate.read({followers: 38, servingForMs: 1000}), undefined);
  t.is(estimate.read({followers: 38, servingForMs: 2500}), 195);
});

test('few followers count only when the others had time to come', t => {
  // Guards against relays being given up because machines started one by one.
  t.is(estimate.read({followers: 1, servingForMs: 2500}), undefined);
  t.is(estimate.read({followers: 1, servingForMs: 6000}), 10);
});
