import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import test from 'ava';
import fc from 'fast-check';
import {planAllotments} from './allotment_plan.js';
import {shareOfLimit} from './fallback_owner.js';
import {makeEndpoint} from './test_fixtures.js';

const SEED = 20261202;
const ENDPOINT = makeEndpoint('e1').id;

function instances(count: number): InstanceId[] {
  return Array.from({length: count}, (_, index) =>
    brandAs<InstanceId>(`akl-a-${index}`),
  );
}

test('half is divided equally and half by recent use', t => {
  const [busy, idle] = instances(2);
  const plan = planAllotments(
    [{endpoint: ENDPOINT, permits: 16}],
    [
      {instance: busy, recentUse: 9},
      {instance: idle, recentUse: 0},
    ],
  );
  t.is(plan.get(busy)!.get(ENDPOINT), 12);
  t.is(plan.get(idle)!.get(ENDPOINT), 4);
});

test('all permits are divided, and no more', t => {
  const uses = fc.array(fc.nat(40), {minLength: 1, maxLength: 63});
  fc.assert(
    fc.property(uses, fc.nat(64), (recentUses, permits) => {
      const known = instances(recentUses.length).map((instance, index) => ({
        instance,
        recentUse: recentUses[index],
      }));
      const plan = planAllotments([{endpoint: ENDPOINT, permits}], known);
      const counts = [...plan.values()].map(each => each.get(ENDPOINT)!);
      return counts.reduce((sum, count) => sum + count, 0) === permits;
    }),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});

test('the shares of instances without an owner add up to the limit', t => {
  // No instance reaches an owner, and each decides alone. If their shares added
  // up to more than the limit, the engine would run above it.
  fc.assert(
    fc.property(fc.integer({min: 1, max: 63}), fc.nat(64), (count, limit) => {
      const all = instances(count);
      const shares = all.map(own => shareOfLimit(ENDPOINT, limit, all, own));
      return shares.reduce((sum, share) => sum + share, 0) === limit;
    }),
    {seed: SEED, numRuns: 300},
  );
  t.pass();
});
