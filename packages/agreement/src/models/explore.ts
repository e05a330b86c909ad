/**
 * Exhaustive exploration of a small specification by breadth-first search, as
 * TLC does, with `getAdjacencyMap` of `xstate/graph`.
 */

import {fromTransition, type EventObject} from 'xstate';
import {adjacencyMapToArray, getAdjacencyMap} from 'xstate/graph';

/** A specification: the initial state, the possible actions, the invariants. */
export interface Model<State, Action extends EventObject> {
  readonly initial: State;
  listActions(state: State): readonly Action[];
  next(state: State, action: Action): State;
  /** The invariant that a state violates; undefined if it violates none. */
  findViolation(state: State): string | undefined;
  /** The same text for equivalent states; JSON if absent. */
  serialize?(state: State): string;
}

/** Result of an exploration. */
export interface Exploration<Action> {
  readonly states: number;
  readonly transitions: number;
  readonly violation: string | undefined;
  /** The actions that lead to the violation; empty without one. */
  readonly trace: readonly Action[];
}

interface Arrival<Action> {
  readonly from: string;
  readonly action: Action;
}

/**
 * Visits every reachable state until one violates an invariant; throws past
 * `limit` transitions.
 *
 * @example
 * const {states, violation} = explore(createClaimModel(), 1_000_000);
 */
export function explore<State extends object, Action extends EventObject>(
  model: Model<State, Action>,
  limit: number,
): Exploration<Action> {
  const logic = fromTransition(
    (state: State, action: Action) => model.next(state, action),
    model.initial,
  );
  const keyOf = cacheKeys<State>(
    state => model.serialize?.(state) ?? JSON.stringify(state),
  );
  let violating: {key: string; message: string} | undefined;
  const map = getAdjacencyMap(logic, {
    limit,
    serializeState: snapshot => keyOf(snapshot.context),
    events: snapshot =>
      violating ? [] : [...model.listActions(snapshot.context)],
    stopWhen: ({context}) => {
      const message = model.findViolation(context);
      if (message !== undefined) {
        violating ??= {key: keyOf(context), message};
      }
      return message !== undefined;
    },
  });
  const transitions = adjacencyMapToArray(map);
  const arrivals = new Map<string, Arrival<Action>>();
  for (const {state, event, nextState} of violating ? transitions : []) {
    const key = keyOf(nextState.context);
    if (!arrivals.has(key)) {
      arrivals.set(key, {from: keyOf(state.context), action: event});
    }
  }
  return {
    states: Object.keys(map).length,
    transitions: transitions.length,
    violation: violating?.message,
    trace: traceTo(violating?.key, keyOf(model.initial), arrivals),
  };
}

function cacheKeys<State extends object>(
  serialize: (state: State) => string,
): (state: State) => string {
  const keys = new WeakMap<State, string>();
  return state => {
    const key = keys.get(state) ?? serialize(state);
    keys.set(state, key);
    return key;
  };
}

function traceTo<Action>(
  target: string | undefined,
  initial: string,
  arrivals: ReadonlyMap<string, Arrival<Action>>,
): readonly Action[] {
  const trace: Action[] = [];
  let key = target;
  while (key !== undefined && key !== initial) {
    const arrival = arrivals.get(key);
    trace.unshift(...(arrival ? [arrival.action] : []));
    key = arrival?.from;
  }
  return trace;
}
