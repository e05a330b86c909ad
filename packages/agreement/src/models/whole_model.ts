/**
 * All specifications side by side on one table, larger than can be explored
 * exhaustively, for random walks.
 */

import type {EventObject} from 'xstate';
import {createClaimModel} from './claim_model.js';
import type {Model} from './explore.js';
import {createLeaseModel} from './lease_model.js';
import {createRevisionModel} from './revision_model.js';
import {createUsageModel} from './usage_model.js';
import type {World} from './world_model.js';

type Part = Model<{readonly world: World}, EventObject>;

export interface WholeWorld {
  readonly world: World;
  readonly parts: ReadonlyArray<{readonly world: World}>;
}

/** An action of one part. */
export interface WholeAction {
  readonly type: 'act';
  readonly part: number;
  readonly action: EventObject;
}

/**
 * The composition; losses and what arrives late are shared by all parts.
 *
 * @example
 * const {state} = walk(createWholeModel({losses: 6}), choices);
 */
export function createWholeModel(options: {
  readonly losses: number;
  /** The lease's margin; without one the walks must find two in charge. */
  readonly marginMs?: number;
}): Model<WholeWorld, WholeAction> {
  const parts = [
    createRevisionModel({tickets: 4}),
    createClaimModel({attempts: 4, crashes: 2}),
    createLeaseModel({
      lastToken: 9,
      driftMs: 2,
      marginMs: options.marginMs,
    }),
    createUsageModel({windows: 3, counts: 6, peer: true}),
  ] as unknown as readonly Part[];
  const tables = parts.map(({initial}) => initial.world.table);
  const world: World = {
    table: Object.assign({}, ...tables),
    late: [],
    lossesLeft: options.losses,
  };
  return {
    initial: {world, parts: parts.map(({initial}) => initial)},
    listActions: state =>
      parts.flatMap((part, index) => listPartActions(part, index, state)),
    next: (state, action) => act(parts[action.part], state, action),
    findViolation: state => findAnyViolation(parts, state),
  };
}

/** Late transactions are left to the first part, which notes their effect. */
function listPartActions(
  part: Part,
  index: number,
  state: WholeWorld,
): readonly WholeAction[] {
  return part
    .listActions({...state.parts[index], world: state.world})
    .filter(({type}) => index === 0 || type !== 'late')
    .map(action => ({type: 'act', part: index, action}));
}

function act(
  part: Part,
  state: WholeWorld,
  {part: index, action}: WholeAction,
): WholeWorld {
  const before = {...state.parts[index], world: state.world};
  const after = part.next(before, action);
  const parts = state.parts.map((each, i) => (i === index ? after : each));
  return {world: after.world, parts};
}

function findAnyViolation(
  parts: readonly Part[],
  {world, parts: states}: WholeWorld,
): string | undefined {
  for (const [index, part] of parts.entries()) {
    const violation = part.findViolation({...states[index], world});
    if (violation !== undefined) {
      return violation;
    }
  }
  return undefined;
}

/** Which part acts next, and which of its actions, by remainder. */
export interface Choice {
  readonly part: number;
  readonly action: number;
}

/** Where a walk ended. */
export interface Walk {
  readonly state: WholeWorld;
  readonly violation: string | undefined;
  readonly taken: readonly WholeAction[];
}

/**
 * Takes one action for each choice until something is wrong.
 *
 * @example
 * walk(model, [{part: 0, action: 4}]).violation; // undefined
 */
export function walk(
  model: Model<WholeWorld, WholeAction>,
  choices: readonly Choice[],
): Walk {
  let state = model.initial;
  const taken: WholeAction[] = [];
  for (const choice of choices) {
    const actions = model
      .listActions(state)
      .filter(({part}) => part === choice.part);
    if (actions.length === 0) {
      continue;
    }
    const action = actions[choice.action % actions.length];
    taken.push(action);
    state = model.next(state, action);
    const violation = model.findViolation(state);
    if (violation !== undefined) {
      return {state, violation, taken};
    }
  }
  return {state, violation: undefined, taken};
}
