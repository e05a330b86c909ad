import test from 'ava';
import type {Route, RouteId} from '@snipestage/routing/route.js';
import {SharedDemand} from '@snipestage/routing/shared_demand.js';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import {DemandExchange} from './demand_exchange.js';
import {readDemandLines} from './demand_report.js';
import type {DemandLine, LoadReport} from './load_report.js';

const ENGINES = brandAs<ServiceId>('engines');
const ROUTE = brandAs<RouteId>('counter');
const PROMPT = {
  tokens: 1000,
  maxOutputTokens: 10,
  expectedOutputTokens: undefined,
  parts: [],
};

function makeInstance() {
  const findRoute = (id: RouteId) => ({id, pauseTargetMs: 150}) as Route;
  const demand = new SharedDemand({findRoute});
  demand.takeOwn(0);
  return {demand, exchange: new DemandExchange(demand)};
}

type Instance = ReturnType<typeof makeInstance>;

function arriveAt({demand}: Instance, count: number): void {
  for (let index = 0; index < count; index++) {
    demand.noteOwn(ENGINES, ROUTE, PROMPT);
  }
}

function reportOf(demands: readonly DemandLine[] | undefined): LoadReport {
  return {kind: 'loads', lines: [], demands};
}

function countAt({demand}: Instance, nowMs: number): number {
  return demand.countRecent(ENGINES, nowMs).get(ROUTE) ?? 0;
}

test('each request counts once at each instance of two data centres', t => {
  // Guards against requests that count twice, or at some instances only, so that
  // instances split the engines in different ways.
  const [relay, follower] = [makeInstance(), makeInstance()];
  const [otherRelay, otherFollower] = [makeInstance(), makeInstance()];
  arriveAt(relay, 1);
  arriveAt(follower, 10);
  arriveAt(otherRelay, 100);
  arriveAt(otherFollower, 1000);
  const local = reportOf(follower.exchange.collectForRelay(500));
  relay.exchange.receive(local, 'local', 500);
  const otherLocal = reportOf(otherFollower.exchange.collectForRelay(500));
  otherRelay.exchange.receive(otherLocal, 'local', 500);
  const out = reportOf(relay.exchange.collectForRelays(500));
  const otherOut = reportOf(otherRelay.exchange.collectForRelays(500));
  relay.exchange.receive(otherOut, 'remote', 500);
  otherRelay.exchange.receive(out, 'remote', 500);
  const down = reportOf(relay.exchange.collectForFollowers());
  follower.exchange.receive(down, 'remote', 500);
  const otherDown = reportOf(otherRelay.exchange.collectForFollowers());
  otherFollower.exchange.receive(otherDown, 'remote', 500);
  for (const each of [relay, follower, otherRelay, otherFollower]) {
    t.is(countAt(each, 500), 1111);
  }
  t.is(relay.exchange.collectForRelays(600), undefined);
  t.is(relay.exchange.collectForFollowers(), undefined);
});

test('an instance that becomes a relay does not pass on what it heard before', t => {
  // Guards against a burst that never was, at all instances.
  const instance = makeInstance();
  const heard = reportOf([[ENGINES, ROUTE, 500, 500_000, 500_000]]);
  instance.exchange.receive(heard, 'remote', 400);
  t.is(instance.exchange.collectForRelay(500), undefined);
  t.is(instance.exchange.collectForFollowers(), undefined);
});

test('malformed demand is dropped, and messages without it are read', t => {
  // Guards against an instance of another version that breaks the split of all.
  const lines = [
    [ENGINES, ROUTE, 1, 2, 3],
    [ENGINES, ROUTE, -1, 2, 3],
    [ENGINES, ROUTE, 1, Number.NaN, 3],
    [ENGINES, ROUTE, 1e9, 2, 3],
    [ENGINES, 7, 1, 2, 3],
    'text',
  ];
  t.is(readDemandLines({kind: 'loads', lines: [], demands: lines}).length, 1);
  t.deepEqual(readDemandLines({kind: 'loads', lines: []}), []);
  t.deepEqual(readDemandLines({kind: 'loads', lines: [], demands: 7}), []);
});
