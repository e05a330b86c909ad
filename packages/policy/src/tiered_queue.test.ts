import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import test from 'ava';
import fc from 'fast-check';
import {makePermitRequest, makeClass, FIRST} from './test_fixtures.js';
import {TieredQueue} from './tiered_queue.js';
import {VirtualCounters} from './virtual_counters.js';

const SEED = 20261202;
const ACCOUNTS = ['a', 'b', 'c'].map(id => brandAs<ClientAccountId>(id));

/** Keeps two requests waiting in each tier; returns the dispatched tiers. */
function dispatchTiers(shares: readonly number[], turns: number): number[] {
  const queue = new TieredQueue();
  queue.configure(
    shares.map((guaranteedShare, tier) => makeClass(tier, {guaranteedShare})),
  );
  let arrival = 0;
  const add = (tier: number) =>
    queue.add({
      ask: makePermitRequest(`${arrival}`, {tier}),
      instance: FIRST,
      arrivedAtMs: 0,
      deadlineAtMs: 0,
      arrival: arrival++,
    });
  shares.forEach((_, tier) => [tier, tier].forEach(add));
  return Array.from({length: turns}, () => {
    const [next] = queue.inDispatchOrder();
    queue.dispatch(next.ask.attempt);
    add(next.ask.tier);
    return next.ask.tier;
  });
}

test('a class with a guaranteed share waits a bounded number of turns', t => {
  const share = fc.integer({min: 1, max: 20}).map(percent => percent / 100);
  const shares = fc.array(share, {minLength: 2, maxLength: 7});
  fc.assert(
    fc.property(shares, all => {
      const tiers = dispatchTiers(all, 600);
      const total = all.reduce((sum, one) => sum + one, 0);
      const scale = Math.min(1, 0.5 / total);
      return all.every((one, tier) => {
        const bound = Math.ceil(1 / (one * scale)) + all.length;
        return longestGap(tiers, tier) <= bound;
      });
    }),
    {seed: SEED, numRuns: 100},
  );
  t.pass();
});

function longestGap(tiers: readonly number[], tier: number): number {
  let gap = 0;
  let longest = 0;
  for (const served of tiers) {
    gap = served === tier ? 0 : gap + 1;
    longest = Math.max(longest, gap);
  }
  return longest;
}

test('guaranteed shares take no more than their part from the top tier', t => {
  // The first turn comes when the shares of 20 dispatches have added up.
  const tiers = dispatchTiers([0, 0.05, 0.05], 1022);
  t.is(tiers.filter(tier => tier === 1).length, 51);
  t.is(tiers.filter(tier => tier === 2).length, 51);
});

test('no correction puts an account ahead of one that waits', t => {
  // Expected tokens are charged at the start and corrected at the end. An
  // account whose requests produce fewer tokens than expected must not gain
  // credit.
  const step = fc.record({
    account: fc.nat(2),
    kind: fc.constantFrom('wait', 'leave', 'charge'),
    tokens: fc.integer({min: -2000, max: 1000}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 80, size: 'max'}), steps => {
      const counters = new VirtualCounters();
      const waiting = new Set<ClientAccountId>();
      for (const {account: index, kind, tokens} of steps) {
        const account = ACCOUNTS[index];
        const others = [...waiting].filter(other => other !== account);
        const floor = Math.min(...others.map(other => counters.get(other)));
        const before = counters.get(account);
        if (kind === 'charge') counters.charge(account, tokens);
        if (kind === 'leave') {
          counters.deactivate(account);
          waiting.delete(account);
        }
        if (kind === 'wait') {
          counters.activate(account);
          const lifted = !waiting.has(account) && others.length > 0;
          waiting.add(account);
          if (lifted && counters.get(account) < floor) return false;
        }
        const least = Math.min(before, floor);
        if (others.length > 0 && counters.get(account) < least) return false;
      }
      return true;
    }),
    {seed: SEED, numRuns: 500},
  );
  t.pass();
});

test('accounts that always have work waiting get equal tokens', t => {
  const lengths = fc.array(fc.integer({min: 1, max: 400}), {
    minLength: 60,
    maxLength: 200,
    size: 'max',
  });
  fc.assert(
    fc.property(lengths, all => {
      const counters = new VirtualCounters();
      for (const account of ACCOUNTS) counters.activate(account);
      const served = new Map(ACCOUNTS.map(account => [account, 0]));
      for (const tokens of all) {
        const [account] = counters.inOrder();
        counters.charge(account, tokens);
        served.set(account, served.get(account)! + tokens);
      }
      const sums = [...served.values()];
      return Math.max(...sums) - Math.min(...sums) <= 400;
    }),
    {seed: SEED, numRuns: 100},
  );
  t.pass();
});
