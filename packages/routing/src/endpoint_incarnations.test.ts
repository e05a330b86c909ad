import test from 'ava';
import {EndpointIncarnations} from './endpoint_incarnations.js';
import {makeEndpoint} from './test_support/fixtures.js';

const ONE = makeEndpoint('one', {bornEpochMs: 1});
const AGAIN = {...ONE, bornEpochMs: 2};
const UNKNOWN = {...ONE, bornEpochMs: undefined};

test('another incarnation under the same id is noticed, also after a gap in the list', t => {
  // Guards against a new incarnation that is bound by what the one before reported.
  const incarnations = new EndpointIncarnations();
  t.deepEqual(incarnations.update([ONE], 0), []);
  t.deepEqual(incarnations.update([ONE], 1), []);
  t.deepEqual(incarnations.update([], 2), []);
  t.deepEqual(incarnations.update([AGAIN], 300_000), [ONE.id]);
  t.deepEqual(incarnations.update([AGAIN], 300_001), []);
});

test('a row without an incarnation changes nothing', t => {
  const incarnations = new EndpointIncarnations();
  incarnations.update([ONE], 0);
  t.deepEqual(incarnations.update([UNKNOWN], 1), []);
  t.deepEqual(incarnations.update([ONE], 2), []);
  t.deepEqual(incarnations.update([AGAIN], 3), [ONE.id]);
});

test('an endpoint is known until it has been unlisted for ten minutes', t => {
  // Guards against memory that grows with each endpoint that leaves.
  const incarnations = new EndpointIncarnations();
  incarnations.update([ONE], 0);
  incarnations.update([], 700_000);
  incarnations.update([], 1_300_000);
  t.true(incarnations.ids.has(ONE.id));
  incarnations.update([], 1_300_001);
  t.false(incarnations.ids.has(ONE.id));
});

test('a row of an incarnation that is gone, or was followed by another, is outdated', t => {
  // Guards against requests to endpoints that an older copy of the store lists.
  const incarnations = new EndpointIncarnations();
  t.false(incarnations.isOutdated(ONE));
  incarnations.update([ONE], 0);
  t.false(incarnations.isOutdated(ONE));
  t.false(incarnations.isOutdated(AGAIN));
  incarnations.update([AGAIN], 1);
  t.true(incarnations.isOutdated(ONE));
  t.false(incarnations.isOutdated(AGAIN));
  incarnations.update([], 2);
  t.true(incarnations.isOutdated(AGAIN));
  t.true(incarnations.isOutdated(UNKNOWN));
});
