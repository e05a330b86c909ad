import test from 'ava';
import {brandAs, type ClientAccountId} from '@snipestage/types/ids.js';
import type {ClientAccountKeys, Route, RoutingConfiguration} from './route.js';
import {makeConfiguration, makeRoute} from './test_support/fixtures.js';
import {UrgencyScale} from './urgency_scale.js';

const ANSWER = makeRoute({tier: 0});
const SUMMARY = makeRoute({tier: 1});
const QUOTE = makeRoute({tier: 2});
const PUBLIC_PAGE = makeRoute({tier: 0, isPublic: true});
const SHOP = makeAccount('shop', 0);
const CHAIN = makeAccount('chain', 1);
const OTHER_CHAIN = makeAccount('other-chain', 1);

function makeAccount(id: string, tier: number | undefined): ClientAccountKeys {
  return {id: brandAs<ClientAccountId>(id), keys: [], tier};
}

function makeScale(changes: Partial<RoutingConfiguration> = {}): UrgencyScale {
  return new UrgencyScale(
    makeConfiguration({
      routes: [ANSWER, SUMMARY, QUOTE, PUBLIC_PAGE],
      clientAccounts: [SHOP, CHAIN, OTHER_CHAIN],
      ...changes,
    }),
  );
}

test('a request of a more urgent route has the lower rank, whatever its account', t => {
  // Guards against long prompts of a preferred account that preempt short
  // answers of other accounts at five times the usual load with a quarter of
  // the engines down; these are processed again from the start, and their
  // callers leave.
  const scale = makeScale();
  const ranks = [ANSWER, SUMMARY, QUOTE].map(route =>
    scale.rankRequest(route, CHAIN),
  );
  t.deepEqual(ranks, [1, 4, 7]);
  t.true(scale.rankRequest(QUOTE, SHOP) > ranks[1]);
});

test('on one route a more urgent account has the lower rank', t => {
  // Guards against a preferred account that waits behind a burst of others on
  // the same route.
  const scale = makeScale();
  for (const route of [ANSWER, SUMMARY, QUOTE]) {
    const chainRank = scale.rankRequest(route, CHAIN);
    t.true(scale.rankRequest(route, SHOP) < chainRank);
    t.is(scale.rankRequest(route, OTHER_CHAIN), chainRank);
  }
});

test('a caller without an account, or with one without a tier, is ranked by route', t => {
  const visitor = makeAccount('visitor', undefined);
  const scale = makeScale({clientAccounts: [SHOP, CHAIN, visitor]});
  t.is(
    scale.rankRequest(PUBLIC_PAGE, undefined),
    scale.rankRequest(ANSWER, SHOP),
  );
  t.is(scale.rankRequest(SUMMARY, visitor), scale.rankRequest(SUMMARY, CHAIN));
  t.true(scale.rankRequest(QUOTE, visitor) > scale.rankRequest(QUOTE, CHAIN));
});

test('without accounts the order of the routes is kept', t => {
  const scale = makeScale({clientAccounts: undefined});
  const ranks = [ANSWER, SUMMARY, QUOTE].map(route =>
    scale.rankRequest(route, undefined),
  );
  t.true(ranks[0] < ranks[1] && ranks[1] < ranks[2]);
});

test('the order of routes holds across versions with other account tiers', t => {
  // Guards against preempting running answers for less urgent requests that were
  // sent under the next version, which adds an account of another tier.
  const before = makeScale();
  const after = makeScale({
    clientAccounts: [SHOP, CHAIN, makeAccount('visitor', 2)],
  });
  const [summaryBefore, quoteBefore] = [SUMMARY, QUOTE].map(route =>
    before.rankRequest(route, CHAIN),
  );
  t.true(after.rankRequest(SUMMARY, CHAIN) < quoteBefore);
  t.true(after.rankRequest(SUMMARY, makeAccount('visitor', 2)) < quoteBefore);
  t.true(summaryBefore < after.rankRequest(QUOTE, SHOP));
});

test('ranks do not change when routes and accounts with known tiers come and go', t => {
  // Guards against preempting running answers for less urgent requests: a route
  // is added while engines are full, and requests of two versions are compared
  // there.
  const rankAll = (scale: UrgencyScale): number[] =>
    [SHOP, CHAIN].flatMap(account =>
      [ANSWER, SUMMARY, QUOTE].map(route => scale.rankRequest(route, account)),
    );
  const changed = makeScale({
    routes: [ANSWER, SUMMARY, QUOTE, makeRoute({tier: 1})],
    clientAccounts: [SHOP, OTHER_CHAIN, makeAccount('newcomer', 1)],
  });
  t.deepEqual(rankAll(changed), rankAll(makeScale()));
});

test('with few ranks, routes keep theirs and the least urgent accounts share one', t => {
  const routes: readonly Route[] = [ANSWER, SUMMARY, QUOTE];
  const accounts = [0, 1, 2, 3].map(tier => makeAccount(`${tier}`, tier));
  const scale = makeScale({routes, clientAccounts: accounts});
  const ranks = accounts.map(account =>
    routes.map(route => scale.rankRequest(route, account)),
  );
  t.deepEqual(ranks, [
    [0, 3, 6],
    [1, 4, 7],
    [2, 5, 8],
    [2, 5, 8],
  ]);
});

test('no rank exceeds those that endpoints support', t => {
  const routes = Array.from({length: 12}, (_, tier) => makeRoute({tier}));
  const scale = makeScale({routes});
  t.is(scale.rankRequest(routes[11], CHAIN), 9);
  t.is(scale.rankRequest(routes[0], SHOP), 0);
});

test('a configuration that mentions no tier has one rank', t => {
  const scale = makeScale({routes: [], clientAccounts: []});
  t.is(scale.rankRequest(ANSWER, undefined), 0);
});
