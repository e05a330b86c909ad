import test from 'ava';
import {RouteTable} from '@snipestage/routing/route_table.js';
import {
  makeConfiguration,
  REPAIR,
} from '@snipestage/routing/test_support/fixtures.js';
import {
  learnRate,
  LONG,
  makeArrived,
  makeRoomFixture,
  MEMORY_TOKENS,
  NOW_MS,
  reportLoads,
} from '@snipestage/routing/test_support/room_fixtures.js';
import {RoutingState} from './routing_state.js';

/** All engines are full, by loads that all instances know. */
function createFullState(isCapacityScarce: boolean): RoutingState {
  const retry = {ratio: 0.1, windowMs: 10_000, slack: 1};
  const state = new RoutingState(retry, undefined, {
    isCapacityScarce,
    accountsForRoom: true,
  });
  const engine = {batchSize: 128, cacheTokens: MEMORY_TOKENS};
  state.table = new RouteTable(
    makeConfiguration({
      routes: [LONG],
      services: [{id: REPAIR, engine, scaling: undefined}],
    }),
  );
  const {monitor, room} = state;
  const {engines} = makeRoomFixture();
  const changes = engines.map(
    endpoint => ({kind: 'listed', endpoint}) as const,
  );
  state.directory.apply(changes, NOW_MS - 10_000);
  learnRate({monitor, room, engines});
  reportLoads({monitor, room, engines}, {running: 30, waiting: 100});
  return state;
}

test('without load controls nothing is refused for want of room', t => {
  // Guards against refusals in deployments that are served without controls.
  const state = createFullState(false);
  const candidates = state.directory.findServing(REPAIR, NOW_MS);
  t.is(candidates.length, 4);
  t.is(state.shed(makeArrived(candidates)).kind, 'admit');
  const [described] = state.describeEndpoints(NOW_MS);
  t.false('tokensHeld' in described);
});

test('load controls alone neither refuse for want of room nor account for it', t => {
  // Guards against processor time that a deployment hasn't asked for.
  const retry = {ratio: 0.1, windowMs: 10_000, slack: 1};
  const state = new RoutingState(retry, undefined, {isCapacityScarce: true});
  const {engines} = makeRoomFixture();
  t.is(state.shed(makeArrived(engines)).kind, 'admit');
});

test('with load controls the dump of state shows why a request is refused', t => {
  // Guards against refusals that operators can't explain.
  const state = createFullState(true);
  const candidates = state.directory.findServing(REPAIR, NOW_MS);
  const decision = state.shed(makeArrived(candidates));
  t.is(decision.kind, 'refuse');
  const [described] = state.describeEndpoints(NOW_MS);
  t.like(described, {isRoomKnown: true});
  const {tokensUnread} = described as {readonly tokensUnread: number};
  t.true(tokensUnread > 1e6);
});
