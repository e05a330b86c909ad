/**
 * All specifications combined over one table, for random walks: the combination
 * is too large to be explored exhaustively.
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
 * The combined model; all parts share the losses and delayed transactions.
 *
 * @example
 * const {state} = walk(createWholeModel({losses: 6}), choices);
 */
export function createWholeModel(options: {
  readonly losses: number;
  /** The lease's margin; with 0 the walks must find two holders. */
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
    next: (state, action) => performAction(parts[action.part], state, action),
    findViolation: state => findAnyViolation(parts, state),
  };
}

/** Only the first part has late transactions, as it records their effect. */
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

function performAction(
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

/** The next part to act, and a number that selects one of its actions. */
export interface Choice {
  readonly part: number;
  readonly action: number;
}

/** Result of a walk. */
export interface Walk {
  readonly state: WholeWorld;
  readonly violation: string | undefined;
  readonly taken: readonly WholeAction[];
}

/**
 * Takes one action per choice until an invariant is violated. A choice of a part
 * that has no action is skipped.
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
