import {
  brandAs,
  type InstanceId,
  type Revision,
} from '@snipestage/types/ids.js';
import type {ChangeTicket} from '@snipestage/types/configuration.js';
import test from 'ava';
import {carryOut, EMPTY_TABLE, type TableModel} from './models/table_model.js';
import {
  answerPeer,
  beginRevisions,
  transitionRevisions,
  type RevisionEffect,
  type RevisionState,
} from './revisions.js';
import {buildConfiguration, type ConfigurationDelta} from './snapshots.js';
import type {TableEffect} from './table_effects.js';
import {beginTicket, transitionTicket} from './tickets.js';

function accept(table: TableModel, number: number, tokens: number | null) {
  const id = `model-${number % 3}`;
  const state = tokens === null ? null : {id, typicalOutputTokens: tokens};
  const changes = [{kind: 'model', id, state}] as ChangeTicket['changes'];
  const ticket = {number: brandAs(number), author: 'a', reason: 'r', changes};
  let step = beginTicket({ticket: ticket as ChangeTicket});
  while (step.effects.length > 0) {
    const done = carryOut(table, step.effects[0], 0);
    table = done.table;
    step = transitionTicket(step.state, done.event);
  }
  return table;
}

/** Polls to the end; `meanwhile` changes the table before each scan. */
function poll(
  state: RevisionState,
  table: TableModel,
  meanwhile = (before: TableModel) => before,
) {
  let step = transitionRevisions(state, {kind: 'poll', nowMs: 5});
  const seen: RevisionEffect[] = [];
  while (step.effects.length > 0) {
    const [effect] = step.effects;
    seen.push(effect);
    if (effect.kind === 'apply') {
      break;
    }
    table = effect.kind === 'scan' ? meanwhile(table) : table;
    const {event} = carryOut(table, effect as TableEffect, 9);
    step = transitionRevisions(step.state, event);
  }
  return {state: step.state, seen: seen.map(({kind}) => kind), table};
}

test('one new ticket is read by its row, several by a scan', t => {
  let table = accept(EMPTY_TABLE, 1, 10);
  const first = poll(beginRevisions(), table);
  t.deepEqual(first.seen, ['read', 'scan', 'read', 'apply']);
  table = accept(table, 2, 20);
  const second = poll(first.state, table);
  t.deepEqual(second.seen, ['read', 'read', 'apply']);
  table = accept(accept(table, 3, 30), 4, null);
  const third = poll(second.state, table);
  t.deepEqual(third.seen, ['read', 'scan', 'read', 'apply']);
  const {revision, models} = buildConfiguration(third.state.snapshot);
  t.is(revision, brandAs<Revision>(4));
  t.deepEqual([...models.keys()].sort(), ['model-0', 'model-2']);
  t.is(third.state.confirmedAtMs, 5);
});

// A ticket is accepted while an instance scans all objects. Without a second
// scan it would serve a mix of two revisions.
test('a ticket accepted during a scan makes it read again', t => {
  let number = 1;
  const raced = poll(beginRevisions(), accept(EMPTY_TABLE, 1, 10), table =>
    number < 3 ? accept(table, ++number, 20) : table,
  );
  t.is(raced.state.snapshot.revision, brandAs<Revision>(3));
  t.is(Object.keys(raced.state.snapshot.objects).length, 3);
});

// A peer that was cut off returns and sends its old revision. If that were
// applied, a withdrawn key would work again.
test('messages from peers never lower the revision', t => {
  const table = accept(accept(EMPTY_TABLE, 1, 10), 2, 20);
  const older = poll(beginRevisions(), accept(EMPTY_TABLE, 1, 10)).state;
  const newer = poll(
    poll(older, accept(EMPTY_TABLE, 1, 10)).state,
    table,
  ).state;
  const snapshot = older.snapshot;
  const back = transitionRevisions(newer, {
    kind: 'peer_snapshot',
    snapshot,
    nowMs: 0,
  });
  t.deepEqual(back, {state: newer, effects: []});
  const delta = answerPeer(newer, older.snapshot.revision);
  const peer = brandAs<InstanceId>('akl-a-2');
  const event = {
    kind: 'peer_delta',
    peer,
    delta: delta as ConfigurationDelta,
    nowMs: 0,
  } as const;
  const caughtUp = transitionRevisions(older, event).state;
  t.deepEqual(caughtUp.snapshot, newer.snapshot);
  const gap = transitionRevisions(beginRevisions(), event);
  t.like(gap.effects[0], {kind: 'ask_peer', peer, from: 0});
});
