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

test('an urgent route of an account goes before its others', t => {
  // Five times the usual load comes to all routes of a chain for some seconds.
  // Its quotes are long and fill the engines; its summaries wait behind them
  // until their callers leave, though the operator put summaries first.
  const scale = makeScale();
  const ranks = [ANSWER, SUMMARY, QUOTE].map(route =>
    scale.rankRequest(route, CHAIN),
  );
  t.deepEqual(ranks, [3, 4, 5]);
  t.is(scale.rankRequest(SUMMARY, OTHER_CHAIN), ranks[1]);
});

test('an urgent account goes before others on any route', t => {
  // A shop pays to go first. During a burst of the chains' short answers its
  // quotes would have to wait if the route alone decided.
  const scale = makeScale();
  const last = Math.max(
    ...[ANSWER, SUMMARY, QUOTE].map(route => scale.rankRequest(route, SHOP)),
  );
  t.true(last < scale.rankRequest(ANSWER, CHAIN));
});

test('a caller without an account, or one without a tier, goes by route', t => {
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

test('ranks stay when routes and accounts with known tiers come and go', t => {
  // The operator adds a route while engines are full. Requests sent by the
  // version before stand beside new ones at the engines; if ranks had moved, a
  // running answer would be preempted for a quote.
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

test('with few ranks, accounts keep theirs and the last routes share', t => {
  const routes: readonly Route[] = [ANSWER, SUMMARY, QUOTE];
  const accounts = [0, 1, 2, 3].map(tier => makeAccount(`${tier}`, tier));
  const scale = makeScale({routes, clientAccounts: accounts});
  const ranks = accounts.map(account =>
    routes.map(route => scale.rankRequest(route, account)),
  );
  t.deepEqual(ranks, [
    [0, 1, 1],
    [2, 3, 3],
    [4, 5, 5],
    [6, 7, 7],
  ]);
});

test('no rank lies beyond those that endpoints know', t => {
  const accounts = Array.from({length: 12}, (_, tier) =>
    makeAccount(`${tier}`, tier),
  );
  const scale = makeScale({clientAccounts: accounts});
  t.is(scale.rankRequest(QUOTE, accounts[11]), 9);
  t.is(scale.rankRequest(ANSWER, accounts[0]), 0);
});

test('a configuration that mentions no tier has one rank', t => {
  const scale = makeScale({routes: [], clientAccounts: []});
  t.is(scale.rankRequest(ANSWER, undefined), 0);
});
