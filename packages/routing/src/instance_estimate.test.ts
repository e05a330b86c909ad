import test from 'ava';
import {InstanceEstimate} from './instance_estimate.js';

const estimate = new InstanceEstimate({
  dataCentres: 5,
  minInstancesForRelays: 30,
});

test('a large deployment estimates its size within seconds of the start', t => {
  // Guards against every instance polling the store until the first count.
  t.is(estimate.read({followers: 38, servingForMs: 1000}), undefined);
  t.is(estimate.read({followers: 38, servingForMs: 2500}), 195);
});

test('few followers count only after others have had time to connect', t => {
  // Guards against relays that are given up because machines start one by one.
  t.is(estimate.read({followers: 1, servingForMs: 2500}), undefined);
  t.is(estimate.read({followers: 1, servingForMs: 6000}), 10);
});
