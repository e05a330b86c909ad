import test from 'ava';
import {RemovedEndpoints} from './removed_endpoints.js';
import {makeEndpoint} from './test_support/fixtures.js';

const ONE = makeEndpoint('one');
const TWO = makeEndpoint('two');

test('removed endpoints are found as they were listed, for a while', t => {
  // Guards against a list of all endpoints that there ever were.
  const removed = new RemovedEndpoints();
  t.is(removed.find(ONE.id), undefined);
  removed.add(ONE, 0);
  removed.add(TWO, 50_000);
  t.is(removed.find(ONE.id), ONE);
  removed.add(makeEndpoint('three'), 70_000);
  t.is(removed.find(ONE.id), undefined);
  t.is(removed.find(TWO.id), TWO);
});
