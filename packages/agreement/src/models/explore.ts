/**
 * Exhaustive exploration of a small specification, after breadth-first search
 * as TLC does it, by `getAdjacencyMap` of `xstate/graph`.
 */

import {fromTransition, type EventObject} from 'xstate';
import {adjacencyMapToArray, getAdjacencyMap} from 'xstate/graph';

/** A specification: a first state, what may happen next, and what must hold. */
export interface Model<State, Action extends EventObject> {
  readonly initial: State;
  listActions(state: State): readonly Action[];
  next(state: State, action: Action): State;
  /** What is wrong with a state; undefined if nothing is. */
  findViolation(state: State): string | undefined;
}

/** What an exploration found. */
export interface Exploration<Action> {
  readonly states: number;
  readonly transitions: number;
  readonly violation: string | undefined;
  /** The actions that lead to the violation. */
  readonly trace: readonly Action[];
}

interface Arrival<Action> {
  readonly from: string;
  readonly action: Action;
}

/**
 * Visits every state that can be reached; throws past `limit` transitions.
 *
 * @example
 * const {states, violation} = explore(claimModel(), 1_000_000);
 */
export function explore<State extends object, Action extends EventObject>(
  model: Model<State, Action>,
  limit: number,
): Exploration<Action> {
  const logic = fromTransition(
    (state: State, action: Action) => model.next(state, action),
    model.initial,
  );
  let violating: {key: string; message: string} | undefined;
  const map = getAdjacencyMap(logic, {
    limit,
    serializeState: snapshot => JSON.stringify(snapshot.context),
    events: snapshot =>
      violating ? [] : [...model.listActions(snapshot.context)],
    stopWhen: snapshot => {
      const message = model.findViolation(snapshot.context);
      if (message !== undefined) {
        violating ??= {key: JSON.stringify(snapshot.context), message};
      }
      return message !== undefined;
    },
  });
  const arrivals = new Map<string, Arrival<Action>>();
  const transitions = adjacencyMapToArray(map);
  for (const {state, event, nextState} of transitions) {
    const key = JSON.stringify(nextState.context);
    if (!arrivals.has(key)) {
      const from = JSON.stringify(state.context);
      arrivals.set(key, {from, action: event});
    }
  }
  return {
    states: Object.keys(map).length,
    transitions: transitions.length,
    violation: violating?.message,
    trace: traceTo(violating?.key, JSON.stringify(model.initial), arrivals),
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
