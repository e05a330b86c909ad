import test from 'ava';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import {competesForLease} from './lease_candidates.js';

function countCandidates(
  count: number,
  upForMs: number,
  instances?: number,
): number {
  return Array.from({length: count}, (_, index) =>
    brandAs<InstanceId>(`akl-a-${index}`),
  ).filter(instance =>
    competesForLease({instance, lease: 'duties', instances, upForMs}),
  ).length;
}

test('hundreds of instances that start at once do not all compete for the lease', t => {
  // Guards against 195 reads and 195 writes for one row in the first second.
  t.true(countCandidates(195, 500) >= 1);
  t.true(countCandidates(195, 500) <= 20);
  t.true(countCandidates(195, 2500) <= 70);
});

test('a few instances have a candidate within seconds', t => {
  // Guards against a small deployment in which no instance reports usage.
  t.true(countCandidates(6, 5000) >= 1);
  t.is(countCandidates(6, 10_000), 6);
});

test('a few compete once the number of instances is known', t => {
  const candidates = countCandidates(195, 60_000, 195);
  t.true(candidates >= 3 && candidates <= 16, `${candidates}`);
  t.is(countCandidates(6, 0, 6), 6);
});
