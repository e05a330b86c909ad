import test from 'ava';
import type {PaceChange} from '@snipestage/routing/start_pace.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {makeEndpoint} from '@snipestage/routing/test_support/fixtures.js';
import {RoutingState} from './routing_state.js';

const RETRY = {ratio: 1, windowMs: 10_000, slack: 50};
const ENDPOINTS = ['one', 'two', 'three', 'four'].map(id => makeEndpoint(id));
const LATER_MS = 60_000;

/** A state that has read its first list. */
function startState(isCapacityScarce: boolean): RoutingState {
  const state = new RoutingState(RETRY, undefined, {isCapacityScarce});
  state.directory.replace(ENDPOINTS, 0);
  state.evictStale(0);
  return state;
}

function list(
  state: RoutingState,
  endpoints: readonly ServingEndpoint[],
  nowMs: number,
): void {
  state.directory.replace(endpoints, nowMs);
  state.evictStale(nowMs);
}

/** Ids of the endpoints with a small share, as the dump of state has them. */
function findPaced(state: RoutingState, nowMs: number): string[] {
  const described = state.describeEndpoints(nowMs) as {
    id: string;
    startShare?: number;
  }[];
  return described
    .filter(({startShare}) => startShare !== undefined)
    .map(({id}) => id);
}

test('a listed endpoint that is new or restarted is paced and reported', t => {
  // Guards against a slow start that doesn't learn the list of endpoints.
  const state = startState(true);
  const changes: PaceChange[] = [];
  state.watchPace(change => changes.push(change));
  t.deepEqual(findPaced(state, 0), []);
  const restarted = makeEndpoint('one', {bornEpochMs: 2});
  const listed = [restarted, ...ENDPOINTS.slice(1), makeEndpoint('five')];
  list(state, listed, LATER_MS);
  t.deepEqual(findPaced(state, LATER_MS), ['one', 'five']);
  t.deepEqual(
    changes.map(({kind, cause}) => `${kind} ${cause}`),
    ['begun restarted', 'begun new'],
  );
  t.deepEqual(findPaced(state, LATER_MS + 4000), []);
});

test('without load controls no endpoint is paced', t => {
  // Guards against holding back endpoints of the deployments in service.
  const state = startState(false);
  list(state, [...ENDPOINTS, makeEndpoint('five')], LATER_MS);
  t.deepEqual(findPaced(state, LATER_MS), []);
  t.is(state.correction.shareOf(makeEndpoint('five'), LATER_MS), 1);
});

test('an instance that was cut off from the list takes no endpoint for new', t => {
  // Guards against holding back a whole fleet that was replaced meanwhile.
  const state = startState(true);
  for (let atMs = LATER_MS; atMs < LATER_MS + 8000; atMs += 800) {
    state.directory.noteDisturbance(atMs);
  }
  const replaced = ['six', 'seven', 'eight'].map(id => makeEndpoint(id));
  list(state, [ENDPOINTS[0], ...replaced], LATER_MS + 8000);
  t.deepEqual(findPaced(state, LATER_MS + 8000), []);
  // Long after the disturbance an endpoint is new again.
  const nine = makeEndpoint('nine');
  list(state, [ENDPOINTS[0], ...replaced, nine], LATER_MS + 30_000);
  t.deepEqual(findPaced(state, LATER_MS + 30_000), ['nine']);
});

test('rows that were missing during an outage of the store are not new', t => {
  // Guards against a ramp of all endpoints after each outage of the store.
  const state = startState(true);
  list(state, [], LATER_MS);
  list(state, ENDPOINTS, LATER_MS + 60_000);
  t.deepEqual(findPaced(state, LATER_MS + 60_000), []);
});
