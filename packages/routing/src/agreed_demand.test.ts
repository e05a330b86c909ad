import test from 'ava';
import {brandAs} from '@snipestage/types/ids.js';
import {AgreedDemand, haveSharesChanged, sumDemands} from './agreed_demand.js';
import {DemandMeter, type RouteDemand} from './demand_meter.js';
import type {RouteId} from './route.js';
import {makePrompt, makeRoute, REPAIR} from './test_support/fixtures.js';

function demand(route: string, workPerS: number, tokens = 100): RouteDemand {
  return {
    route: brandAs<RouteId>(route),
    pauseTargetMs: 150,
    workPerS,
    requestsPerS: 1,
    meanPromptTokens: tokens,
  };
}

test('the sum over all instances is preferred to own figures while valid', t => {
  const own = new DemandMeter();
  own.count(REPAIR, makeRoute(), makePrompt('a', 10, 10), 0);
  const agreed = new AgreedDemand({own, validForMs: 1000});
  t.is(agreed.read(REPAIR, 0).length, 1);
  agreed.learn(REPAIR, [demand('a', 1), demand('b', 2)], 0);
  t.is(agreed.read(REPAIR, 999).length, 2);
  t.is(agreed.read(REPAIR, 1000).length, 1);
});

test('demands add up, and prompt sizes are averaged by requests', t => {
  const total = sumDemands([
    [demand('a', 10, 100), demand('b', 5)],
    [demand('a', 30, 300)],
  ]);
  const a = total.find(({route}) => (route as string) === 'a');
  t.like(a, {workPerS: 40, requestsPerS: 2, meanPromptTokens: 200});
  t.is(total.length, 2);
});

test('only a change of shares is published, not one of volume', t => {
  // Publishing costs a call on every instance. Twice the traffic of the same
  // mix splits the engines as before.
  const before = [demand('a', 10), demand('b', 10)];
  t.false(haveSharesChanged(before, [demand('a', 20), demand('b', 20)]));
  t.true(haveSharesChanged(before, [demand('a', 20), demand('b', 10)]));
  t.true(haveSharesChanged(undefined, before));
  t.true(haveSharesChanged(before, [demand('a', 10), demand('c', 10)]));
});
