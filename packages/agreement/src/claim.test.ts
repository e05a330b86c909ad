import {composeStoreVersion} from '@snipestage/types/store_version.js';
import {brandAs} from '@snipestage/types/ids.js';
import test from 'ava';
import {
  beginClaim,
  transitionClaim,
  type AttemptEnd,
  type ClaimDecision,
  type ClaimEffect,
} from './claim.js';
import {claimKey, planClaimCleanup} from './claim_rows.js';
import {createClaimModel} from './models/claim_model.js';
import {explore} from './models/explore.js';
import {carryOut, EMPTY_TABLE, type TableModel} from './models/table_model.js';
import type {TableEffect} from './table_effects.js';

const KEY = claimKey(brandAs('shop'), brandAs('booking-1'));
const ANSWER = {
  status: 201,
  headers: {},
  body: {kind: 'object', key: 'answers/1'},
} as const;

/** Runs one attempt from start to end, over a table that loses nothing. */
function attempt(
  table: TableModel,
  name: string,
  {
    content = 'same',
    end = undefined as AttemptEnd | undefined,
    live = ['a'],
  } = {},
) {
  const first = beginClaim({
    clientAccount: brandAs('shop'),
    idempotencyKey: brandAs('booking-1'),
    liveIncarnations: live.map(each => brandAs(each)),
    owner: {
      attempt: brandAs(name),
      fingerprint: brandAs(content),
      instance: brandAs('akl-a-1'),
      incarnation: brandAs(name),
      expiresAtEpochMs: 1000,
    },
  });
  let {state} = first;
  const queue: ClaimEffect[] = [...first.effects];
  let decision: ClaimDecision | undefined;
  while (queue.length > 0) {
    const effect = queue.shift()!;
    const ended = {kind: 'attempt_ended', end: end!, nowMs: 0} as const;
    if (effect.kind === 'decide') {
      decision = effect.decision;
    }
    if (effect.kind === 'decide' && (decision?.kind !== 'send' || !end)) {
      continue;
    }
    const done = carryOut(table, effect as TableEffect, 0);
    const step = transitionClaim(
      state,
      effect.kind === 'decide' ? ended : done.event,
    );
    table = effect.kind === 'decide' ? table : done.table;
    state = step.state;
    queue.push(...step.effects);
  }
  return {table, decision};
}

test('a repeated key gets the stored answer, other content is refused', t => {
  const ran = {kind: 'ran', answer: ANSWER} as const;
  const {table} = attempt(EMPTY_TABLE, 'a', {end: ran});
  t.deepEqual(attempt(table, 'b').decision, {kind: 'replay', answer: ANSWER});
  const other = attempt(table, 'b', {content: 'other'});
  t.is(other.decision?.kind, 'content_conflict');
  t.is(planClaimCleanup(Object.values(table), 999).length, 0);
  const [cleanup] = planClaimCleanup(Object.values(table), 1000);
  t.deepEqual(cleanup.checks, [{key: KEY, version: 2}]);
});

// An instance dies after it sent a booking. A retry by the caller must neither
// make a second booking nor get the answer that the first one never ran.
test('an attempt of a dead incarnation is never run again', t => {
  const {table} = attempt(EMPTY_TABLE, 'a');
  t.is(attempt(table, 'b').decision?.kind, 'in_progress');
  t.deepEqual(attempt(table, 'b', {live: []}).decision, {
    kind: 'outcome_unknown',
    verdict: 'may_have_run',
  });
});

test('a key whose attempt did not run can be used again', t => {
  const {table} = attempt(EMPTY_TABLE, 'a', {end: {kind: 'not_run'}});
  t.is(attempt(table, 'b').decision?.kind, 'send');
});

// Guards against a request that runs twice, a wrong answer and a key that stays
// blocked, when the table's answers are lost, transactions arrive late and
// instances crash.
test('no order of losses and crashes runs a claimed request twice', t => {
  const two = explore(createClaimModel(), 2_000_000);
  t.log('2 attempts, 2 losses, 1 crash', two.states, 'states', two.transitions);
  t.is(two.violation, undefined, JSON.stringify(two.trace));
  const three = createClaimModel({attempts: 3, losses: 1, crashes: 0});
  const all = explore(three, 2_000_000);
  t.log('3 attempts, 1 loss, no crash', all.states, 'states', all.transitions);
  t.is(all.violation, undefined, JSON.stringify(all.trace));
});

test('the model catches a claim that is not read back', t => {
  const mutant = createClaimModel({
    mutateEvent: (event, state) =>
      state.phase === 'claiming' &&
      event.kind === 'transaction_answered' &&
      event.result.kind === 'unknown'
        ? {
            ...event,
            result: {
              kind: 'committed',
              versions: {[state.key]: composeStoreVersion({era: 0, number: 1})},
            },
          }
        : event,
  });
  const {violation, trace} = explore(mutant, 2_000_000);
  t.log(violation, 'after', trace.length, 'actions');
  t.is(violation, 'the request ran twice');
});
