import test from 'ava';
import fc from 'fast-check';
import {brandAs, type DataCentreId} from '@snipestage/types/ids.js';
import {
  planCapacity,
  type CapacityInput,
  type CapacityTarget,
} from './capacity_plan.js';
import {EngineNeed} from './engine_need.js';
import type {ScalingLimits} from './route.js';
import {REPAIR} from './test_support/fixtures.js';

const [A, B, C] = ['a', 'b', 'c'].map(name => brandAs<DataCentreId>(name));
const LIMITS: ScalingLimits = {
  minCount: 1,
  maxCount: 12,
  bootMs: 4000,
  cheapPriceRatio: 0.22,
  priceByDataCentre: new Map([
    [A, 1],
    [B, 1.2],
    [C, 0.9],
  ]),
};

function plan(changes: Partial<CapacityInput> = {}): readonly CapacityTarget[] {
  return planCapacity({
    service: REPAIR,
    scaling: LIMITS,
    dataCentres: [A, B, C],
    needed: 10,
    ...changes,
  });
}

/** Counts of the targets of one kind, by data centre. */
function countsOf(
  targets: readonly CapacityTarget[],
  isCheap: boolean,
): readonly number[] {
  return targets
    .filter(target => target.isCheap === isCheap)
    .map(({count}) => count);
}

test('the plan covers the loss of the cheap endpoints of any one data centre', t => {
  // Guards against callers that wait until new endpoints have booted: all cheap
  // endpoints of a data centre are reclaimed at once, and too few are left.
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 5}),
      fc.integer({min: 1, max: 20}),
      (centres, needed) => {
        const dataCentres = Array.from({length: centres}, (_, index) =>
          brandAs<DataCentreId>(`dc-${index}`),
        );
        const targets = planCapacity({
          service: REPAIR,
          scaling: {
            minCount: 1,
            maxCount: 50,
            bootMs: 4000,
            cheapPriceRatio: 0.2,
            priceByDataCentre: new Map(),
          },
          dataCentres,
          needed,
        });
        for (const lost of dataCentres) {
          const left = targets.filter(
            target => !(target.isCheap && target.dataCentre === lost),
          );
          const count = left.reduce((sum, target) => sum + target.count, 0);
          if (count < needed) return false;
        }
        return true;
      },
    ),
  );
  t.pass();
});

test('the plan keeps to the limits of a data centre', t => {
  const targets = planCapacity({
    service: REPAIR,
    scaling: {
      minCount: 1,
      maxCount: 4,
      bootMs: 0,
      cheapPriceRatio: 0.2,
      priceByDataCentre: new Map(),
    },
    dataCentres: [brandAs<DataCentreId>('a'), brandAs<DataCentreId>('b')],
    needed: 40,
  });
  const inA = targets.filter(({dataCentre}) => dataCentre === 'a');
  t.is(
    inA.reduce((sum, {count}) => sum + count, 0),
    4,
  );
});

test('regular endpoints replace those of two reclaims in succession', t => {
  // Guards against losing a quarter of the most urgent callers: the cheap
  // endpoints of two data centres are reclaimed within five seconds, none are
  // available there, and the same order is repeated while a third of the
  // endpoints carries everything.
  const usual = plan();
  t.deepEqual(countsOf(usual, true), [7, 7, 7]);
  t.deepEqual(countsOf(usual, false), [1, 1, 1]);
  const cheapLeft = new Map([
    [B, 0],
    [C, 0],
  ]);
  const scarce = plan({cheapLeft, currentlyNeeded: 16});
  // As many cheap ones as the third data centre may have, then regular ones
  // where they cost least; the cheap ones are still ordered.
  t.deepEqual(countsOf(scarce, true), [11, 7, 7]);
  t.deepEqual(countsOf(scarce, false), [1, 1, 3]);
});

test('regular endpoints take the room of unavailable cheap ones', t => {
  // Guards against orders that count as running though they can't be fulfilled:
  // with a limit of what a data centre usually runs, no replacement was
  // ordered.
  const scaling = {...LIMITS, maxCount: 8};
  const cheapLeft = new Map([[C, 0]]);
  const targets = plan({scaling, needed: 13, currentlyNeeded: 21, cheapLeft});
  t.deepEqual(countsOf(targets, true), [7, 7, 3]);
  t.deepEqual(countsOf(targets, false), [1, 1, 5]);
  const all = plan({scaling, needed: 13, currentlyNeeded: 50, cheapLeft});
  t.deepEqual(countsOf(all, true), [7, 7, 1]);
  t.deepEqual(countsOf(all, false), [1, 1, 7]);
});

test('a reclaim that leaves enough endpoints causes no order', t => {
  // Regular endpoints cost several times as much. Ordered for headroom that a
  // day of usual load doesn't use, they would double its price for nothing.
  t.deepEqual(
    plan({cheapLeft: new Map([[B, 0]]), currentlyNeeded: 10}),
    plan(),
  );
  const lowDemand = plan({
    cheapLeft: new Map([
      [B, 0],
      [C, 0],
    ]),
    currentlyNeeded: 6,
  });
  t.deepEqual(countsOf(lowDemand, false), [1, 1, 1]);
});

test('a burst orders more endpoints at once, cheap ones first', t => {
  // Guards against late orders: three times the usual load comes for some
  // seconds, and endpoints ordered when the first requests wait take seconds to
  // boot and serve only half of it.
  const targets = plan({currentlyNeeded: 30});
  t.deepEqual(countsOf(targets, true), [9, 9, 9]);
  t.deepEqual(countsOf(targets, false), [1, 1, 1]);
  const most = plan({currentlyNeeded: 100});
  t.deepEqual(countsOf(most, true), [11, 11, 11]);
});

test('no data centre exceeds its limit, whatever the demand', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 0, max: 60}),
      fc.integer({min: 0, max: 120}),
      fc.array(fc.integer({min: 0, max: 11}), {maxLength: 3}),
      (needed, currentlyNeeded, left) => {
        const cheapLeft = new Map(
          left.map((count, index) => [[A, B, C][index], count]),
        );
        const targets = plan({needed, currentlyNeeded, cheapLeft});
        return [A, B, C].every(dataCentre => {
          const own = targets.filter(each => each.dataCentre === dataCentre);
          const total = own.reduce((sum, {count}) => sum + count, 0);
          return total <= LIMITS.maxCount && own.every(({count}) => count >= 0);
        });
      },
    ),
  );
  t.pass();
});

test('the need after a peak declines slowly', t => {
  // Waves of one burst come seconds apart. Endpoints released between two of
  // them would still be booting when the second one comes.
  const need = new EngineNeed({halfLifeMs: 5000});
  const at = (requests: number, nowMs: number): number =>
    need.update({requests, batchSize: 32}, nowMs);
  const peak = at(400, 0);
  t.true(peak > 20);
  t.true(at(40, 3000) > peak / 2);
  t.true(at(40, 30_000) < peak / 5);
});

test('load pattern: a data centre is evacuated under its usual demand', t => {
  // Guards against callers that wait because evacuated engines are not
  // replaced.
  const usual = plan();
  const targets = plan({evacuated: new Set([A])});
  t.false(
    targets.some(({dataCentre}) => dataCentre === A),
    'none ordered there',
  );
  const total = targets.reduce((sum, {count}) => sum + count, 0);
  t.true(total >= 16, 'the others carry the usual demand and its bursts');
  const before = usual.filter(({dataCentre}) => dataCentre !== A);
  t.true(total >= before.reduce((sum, {count}) => sum + count, 0));
});

test('nothing is ordered while every data centre is evacuated', t => {
  t.deepEqual(plan({evacuated: new Set([A, B, C])}), []);
});

test('load pattern: one of two open data centres also loses its cheap engines', t => {
  // Guards against a reclaim during an evacuation without replacements.
  const targets = plan({
    needed: 10,
    currentlyNeeded: 12,
    evacuated: new Set([A]),
    cheapLeft: new Map([[B, 0]]),
  });
  const serving = targets
    .filter(({dataCentre, isCheap}) => dataCentre === C || !isCheap)
    .reduce((sum, {count}) => sum + count, 0);
  t.true(serving >= 12);
});

test('load pattern: cheap endpoints become available again where regular ones replace them', t => {
  // Guards against a data centre that releases all its serving endpoints at
  // once.
  const full = {needed: 18, currentlyNeeded: 5};
  const at = (regular: number, cheap: number) =>
    plan({...full, present: new Map([[A, {regular, cheap}]])})
      .filter(({dataCentre}) => dataCentre === A)
      .map(({count}) => count);
  const [, usualCheap] = at(1, 11);
  t.is(usualCheap, 11);
  t.deepEqual(at(11, 1), [5, 7], 'half of the endpoints keep serving');
  t.deepEqual(at(5, 1), [5, 7], 'and stay until the others have booted');
  t.deepEqual(at(5, 7), [1, 11], 'then the rest is replaced');
});

test('regular endpoints are not kept before the first request', t => {
  // Guards against paying for regular endpoints that no request uses yet.
  const present = new Map([[A, {regular: 12, cheap: 0}]]);
  const [first] = plan({needed: 18, present});
  t.is(first.count, 1);
});
