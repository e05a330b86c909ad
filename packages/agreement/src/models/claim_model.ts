/**
 * Specification of claims: attempts for one key at instances that may crash,
 * over a table that loses answers. Invariants: the request never runs twice, an
 * attempt gets one decision (so that one refused as not run never runs), an
 * answer is replayed unchanged, and a key that never ran is free again.
 */

import {brandAs} from '@snipestage/types/ids.js';
import {
  beginClaim,
  transitionClaim,
  type AttemptEnd,
  type ClaimDecision,
  type ClaimEvent,
  type ClaimState,
  type ClaimStep,
} from '../claim.js';
import {CLAIMS_PREFIX, type ClaimValue} from '../claim_rows.js';
import type {TableEffect} from '../table_effects.js';
import type {Model} from './explore.js';
import {EMPTY_TABLE, scanTable} from './table_model.js';
import {
  deliver,
  deliverLate,
  listDeliveries,
  listLate,
  type Delivery,
  type LateAction,
  type World,
} from './world_model.js';

interface Attempt {
  readonly state: ClaimState | undefined;
  readonly pending: TableEffect | undefined;
  readonly decisions: readonly ClaimDecision[];
  readonly runs: number;
  /** The end that it was notified of; `no` if it crashed before. */
  readonly ended: 'no' | 'not_run' | 'may_have_run' | 'ran';
  readonly crashed: boolean;
}

export interface ClaimWorld {
  readonly world: World;
  readonly attempts: readonly Attempt[];
  readonly crashesLeft: number;
}

export type ClaimAction =
  | {readonly type: 'begin'; readonly attempt: number}
  | {
      readonly type: 'deliver';
      readonly attempt: number;
      readonly delivery: Delivery;
    }
  | LateAction
  | {
      readonly type: 'end';
      readonly attempt: number;
      readonly end: AttemptEnd['kind'];
      readonly runs: number;
    }
  | {readonly type: 'crash'; readonly attempt: number; readonly runs: number};

/** Size of the model, and the mutation, if any. */
export interface ClaimModelOptions {
  readonly attempts?: number;
  readonly losses?: number;
  readonly crashes?: number;
  readonly mutateEvent?: (event: ClaimEvent, state: ClaimState) => ClaimEvent;
}

const IDLE: Attempt = {
  state: undefined,
  pending: undefined,
  decisions: [],
  runs: 0,
  ended: 'no',
  crashed: false,
};

/**
 * The specification over the production functions.
 *
 * @example
 * explore(createClaimModel(), 1_000_000).violation; // undefined
 */
export function createClaimModel(
  options: ClaimModelOptions = {},
): Model<ClaimWorld, ClaimAction> {
  const mutateEvent = options.mutateEvent ?? (event => event);
  return {
    initial: {
      world: {table: EMPTY_TABLE, late: [], lossesLeft: options.losses ?? 2},
      attempts: Array.from({length: options.attempts ?? 2}, () => IDLE),
      crashesLeft: options.crashes ?? 1,
    },
    listActions: listClaimActions,
    next: (state, action) => nextClaimWorld(state, action, mutateEvent),
    findViolation: findClaimViolation,
  };
}

function listClaimActions(state: ClaimWorld): readonly ClaimAction[] {
  const actions: ClaimAction[] = [...listLate(state.world)];
  state.attempts.forEach((item, attempt) => {
    if (item.state === undefined) {
      actions.push({type: 'begin', attempt});
      return;
    }
    if (item.pending !== undefined) {
      for (const delivery of listDeliveries(state.world, item.pending)) {
        actions.push({type: 'deliver', attempt, delivery});
      }
    }
    const running =
      !item.crashed && item.state.phase === 'held' && item.ended === 'no';
    if (running) {
      actions.push({type: 'end', attempt, end: 'not_run', runs: 0});
      actions.push({type: 'end', attempt, end: 'ran', runs: 1});
      actions.push({type: 'end', attempt, end: 'unknown', runs: 0});
      actions.push({type: 'end', attempt, end: 'unknown', runs: 1});
    }
    if (state.crashesLeft > 0 && !item.crashed) {
      actions.push({type: 'crash', attempt, runs: 0});
      actions.push(...(running ? [crashAfterRun(attempt)] : []));
    }
  });
  return actions;
}

function crashAfterRun(attempt: number): ClaimAction {
  return {type: 'crash', attempt, runs: 1};
}

function nextClaimWorld(
  state: ClaimWorld,
  action: ClaimAction,
  mutateEvent: (event: ClaimEvent, state: ClaimState) => ClaimEvent,
): ClaimWorld {
  if (action.type === 'late') {
    return {...state, world: deliverLate(state.world, action.index)};
  }
  const item = state.attempts[action.attempt];
  const replace = (next: Attempt): ClaimWorld => ({
    ...state,
    attempts: state.attempts.map((each, index) =>
      index === action.attempt ? next : each,
    ),
  });
  switch (action.type) {
    case 'begin':
      return replace(follow(item, beginAttempt(action.attempt)));
    case 'crash': {
      const crashesLeft = state.crashesLeft - 1;
      const runs = item.runs + action.runs;
      const next = {...item, runs, crashed: true, pending: undefined};
      return {...replace(next), crashesLeft};
    }
    case 'end': {
      const ended = action.end === 'unknown' ? 'may_have_run' : action.end;
      const end = endOf(action.end, action.attempt);
      const event = {kind: 'attempt_ended', end, nowMs: 0} as const;
      const step = transitionClaim(item.state!, event);
      const runs = item.runs + action.runs;
      return replace(follow({...item, ended, runs}, step));
    }
    case 'deliver': {
      const done = deliver(state.world, item.pending!, action.delivery, 0);
      const event = mutateEvent(done.event, item.state!);
      const step = transitionClaim(item.state!, event);
      const next = follow({...item, pending: undefined}, step);
      return {...replace(next), world: done.world};
    }
  }
}

function beginAttempt(attempt: number): ClaimStep {
  return beginClaim({
    clientAccount: brandAs('gear-menders'),
    idempotencyKey: brandAs('booking-17'),
    owner: {
      attempt: brandAs(`attempt-${attempt}`),
      fingerprint: brandAs('same'),
      instance: brandAs(`instance-${attempt}`),
      incarnation: brandAs(`incarnation-${attempt}`),
      expiresAtEpochMs: 0,
    },
  });
}

function endOf(kind: AttemptEnd['kind'], attempt: number): AttemptEnd {
  switch (kind) {
    case 'not_run':
      return {kind};
    case 'unknown':
      return {kind, verdict: 'may_have_run'};
    case 'ran': {
      const body = {kind: 'inline', text: `booked by ${attempt}`} as const;
      return {kind, answer: {status: 200, headers: {}, body}};
    }
  }
}

function follow(item: Attempt, step: ClaimStep): Attempt {
  let {pending, decisions} = item;
  for (const effect of step.effects) {
    if (effect.kind === 'decide') {
      decisions = [...decisions, effect.decision];
    } else {
      pending = effect;
    }
  }
  return {...item, state: step.state, pending, decisions};
}

function findClaimViolation(state: ClaimWorld): string | undefined {
  const {attempts} = state;
  const runs = attempts.reduce((sum, attempt) => sum + attempt.runs, 0);
  if (runs > 1) {
    return 'the request ran twice';
  }
  if (attempts.some(({decisions}) => decisions.length > 1)) {
    return 'an attempt was decided twice';
  }
  const replayed = attempts
    .flatMap(({decisions}) => decisions)
    .flatMap(decision => (decision.kind === 'replay' ? [decision.answer] : []))
    .map(({body}) => (body.kind === 'inline' ? body.text : body.key));
  const ranBy = attempts.findIndex(attempt => attempt.ended === 'ran');
  if (replayed.some(text => text !== `booked by ${ranBy}`)) {
    return 'a replayed answer is not the one that the attempt got';
  }
  return isBlocked(state) ? 'a key that never ran is not free' : undefined;
}

/** Nothing is under way, nothing ran or crashed, but the row is not released. */
function isBlocked({world, attempts}: ClaimWorld): boolean {
  const settled = attempts.every(
    ({state, pending, ended, crashed}) =>
      pending === undefined &&
      !crashed &&
      (ended === 'not_run' ||
        (ended === 'no' && (!state || state.phase === 'done'))),
  );
  const values = scanTable(world.table, CLAIMS_PREFIX).map(
    row => row.value as ClaimValue,
  );
  return settled && values.some(({status}) => status.kind !== 'released');
}
