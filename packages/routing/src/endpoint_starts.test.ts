import test from 'ava';
import {EndpointStarts} from './endpoint_starts.js';
import {makeEndpoint} from './test_support/fixtures.js';

const ONE = makeEndpoint('one', {bornEpochMs: 1});
const AGAIN = {...ONE, bornEpochMs: 2};
const UNKNOWN = {...ONE, bornEpochMs: undefined};

test('another start under the same id is noticed, also after a gap in the list', t => {
  // Guards against a new start that is bound by what the one before reported.
  const starts = new EndpointStarts();
  t.deepEqual(starts.update([ONE], 0), []);
  t.deepEqual(starts.update([ONE], 1), []);
  t.deepEqual(starts.update([], 2), []);
  t.deepEqual(starts.update([AGAIN], 300_000), [ONE.id]);
  t.deepEqual(starts.update([AGAIN], 300_001), []);
});

test('a row without a start changes nothing', t => {
  const starts = new EndpointStarts();
  starts.update([ONE], 0);
  t.deepEqual(starts.update([UNKNOWN], 1), []);
  t.deepEqual(starts.update([ONE], 2), []);
  t.deepEqual(starts.update([AGAIN], 3), [ONE.id]);
});

test('an endpoint is known until it has been unlisted for ten minutes', t => {
  // Guards against memory that grows with each endpoint that leaves.
  const starts = new EndpointStarts();
  starts.update([ONE], 0);
  starts.update([], 700_000);
  starts.update([], 1_300_000);
  t.true(starts.ids.has(ONE.id));
  starts.update([], 1_300_001);
  t.false(starts.ids.has(ONE.id));
});
