/**
 * Specification of tickets and revisions: operators who submit tickets on the
 * same objects over a table that loses answers, a reader that polls, and a peer
 * that only gets messages from that reader, late, repeated or out of order.
 * Invariants: the outcome that an operator gets stays true, and the snapshot of
 * each reader is always exactly one revision, never a lower one than before.
 */

import type {
  ChangeTicket,
  ObjectChange,
} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type ChangeTicketNumber,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {canonicalJson} from '../canonical_json.js';
import {
  answerPeer,
  beginRevisions,
  transitionRevisions,
  type RevisionEvent,
  type RevisionState,
  type RevisionStep,
} from '../revisions.js';
import {snapshotFromRows} from '../snapshots.js';
import type {TableEffect} from '../table_effects.js';
import {HEAD_KEY, OBJECTS_PREFIX, ticketKey} from '../ticket_rows.js';
import {beginTicket, transitionTicket, type TicketState} from '../tickets.js';
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

interface Operator {
  readonly state: TicketState | undefined;
  readonly pending: TableEffect | undefined;
}

interface Reader {
  readonly state: RevisionState;
  readonly pending: TableEffect | undefined;
  readonly highest: number;
}

export interface RevisionWorld {
  readonly world: World;
  readonly operators: readonly Operator[];
  /** The first polls, the second gets messages from the first. */
  readonly readers: readonly [Reader, Reader];
  /** Messages of the first reader; each may arrive at any time, repeatedly. */
  readonly peerMessages: readonly RevisionEvent[];
  /** The objects at each revision. */
  readonly history: readonly string[];
}

export type RevisionAction =
  | {readonly type: 'file'; readonly operator: number}
  | {
      readonly type: 'deliver';
      readonly operator: number;
      readonly delivery: Delivery;
    }
  | LateAction
  | {readonly type: 'poll' | 'answer' | 'post'}
  | {readonly type: 'hear'; readonly index: number};

/** Size of the model, and the mutation, if any. */
export interface RevisionModelOptions {
  readonly tickets?: number;
  readonly losses?: number;
  /** Whether the reader sends messages to a peer. */
  readonly peer?: boolean;
  readonly mutateStep?: (
    step: RevisionStep,
    event: RevisionEvent,
  ) => RevisionStep;
}

const PEER = brandAs<InstanceId>('akl-a-1');

/**
 * The specification over the production functions.
 *
 * @example
 * explore(createRevisionModel(), 300_000).violation; // undefined
 */
export function createRevisionModel(
  options: RevisionModelOptions = {},
): Model<RevisionWorld, RevisionAction> {
  const reader: Reader = {
    state: beginRevisions(),
    pending: undefined,
    highest: 0,
  };
  const idle: Operator = {state: undefined, pending: undefined};
  return {
    initial: {
      world: {table: EMPTY_TABLE, late: [], lossesLeft: options.losses ?? 0},
      operators: Array.from({length: options.tickets ?? 2}, () => idle),
      readers: [reader, reader],
      peerMessages: [],
      history: ['{}'],
    },
    listActions: state => listRevisionActions(state, options.peer ?? true),
    next: (state, action) =>
      noteHistory(nextRevisionWorld(state, action, options)),
    findViolation: findRevisionViolation,
    serialize: state =>
      JSON.stringify(state, (field, value: unknown) =>
        field === 'call' || field === 'delayMs' ? undefined : value,
      ),
  };
}

/** A ticket that sets an object that all tickets set, and one of its own. */
function composeTicket(index: number): ChangeTicket {
  const number = brandAs<ChangeTicketNumber>(index + 1);
  const changes = ['shared', `own-${index}`].map((id): ObjectChange => ({
    kind: 'model',
    id,
    state: {id: brandAs(id), typicalOutputTokens: index},
  }));
  return {number, author: 'operator', reason: 'model', changes};
}

function listRevisionActions(
  state: RevisionWorld,
  withPeer: boolean,
): readonly RevisionAction[] {
  const actions: RevisionAction[] = [...listLate(state.world)];
  state.operators.forEach(({state: ticket, pending}, operator) => {
    if (ticket === undefined) {
      actions.push({type: 'file', operator});
    }
    const deliveries = pending ? listDeliveries(state.world, pending) : [];
    for (const delivery of deliveries) {
      actions.push({type: 'deliver', operator, delivery});
    }
  });
  const idle = state.readers[0].pending === undefined;
  actions.push({type: idle ? 'poll' : 'answer'});
  if (withPeer) {
    actions.push({type: 'post'});
    state.peerMessages.forEach((_, index) =>
      actions.push({type: 'hear', index}),
    );
  }
  return actions;
}

function nextRevisionWorld(
  state: RevisionWorld,
  action: RevisionAction,
  options: RevisionModelOptions,
): RevisionWorld {
  const {world} = state;
  const [first] = state.readers;
  switch (action.type) {
    case 'late':
      return {...state, world: deliverLate(world, action.index)};
    case 'file': {
      const ticket = composeTicket(action.operator);
      const step = beginTicket({ticket, maxAttempts: 3});
      const next = {state: step.state, pending: step.effects[0]};
      return withOperator(state, action.operator, next);
    }
    case 'deliver': {
      const {state: ticket, pending} = state.operators[action.operator];
      const done = deliver(world, pending!, action.delivery, 0);
      const step = transitionTicket(ticket!, done.event);
      const next = {state: step.state, pending: step.effects[0]};
      return {
        ...withOperator(state, action.operator, next),
        world: done.world,
      };
    }
    case 'poll':
      return onReader(state, 0, {kind: 'poll', nowMs: 0}, options);
    case 'answer': {
      const {event} = deliver(world, first.pending!, 'answered', 0);
      return onReader(state, 0, event, options);
    }
    case 'post':
      return sendToPeer(state);
    case 'hear':
      return onReader(state, 1, state.peerMessages[action.index], options);
  }
}

function withOperator(
  state: RevisionWorld,
  index: number,
  next: Operator,
): RevisionWorld {
  const operators = state.operators.map((each, i) =>
    i === index ? next : each,
  );
  return {...state, operators};
}

/** Sends the second reader the first one's snapshot, and a delta if possible. */
function sendToPeer(state: RevisionWorld): RevisionWorld {
  const [first, second] = state.readers;
  const {snapshot} = first.state;
  const messages: RevisionEvent[] = [
    {kind: 'peer_snapshot', snapshot, nowMs: 0},
  ];
  const answer = answerPeer(first.state, second.state.snapshot.revision);
  if (answer !== undefined && 'changes' in answer) {
    messages.push({kind: 'peer_delta', peer: PEER, delta: answer, nowMs: 0});
  }
  const known = new Set(state.peerMessages.map(each => JSON.stringify(each)));
  const fresh = messages.filter(each => !known.has(JSON.stringify(each)));
  return {...state, peerMessages: [...state.peerMessages, ...fresh]};
}

function onReader(
  state: RevisionWorld,
  index: 0 | 1,
  event: RevisionEvent,
  options: RevisionModelOptions,
): RevisionWorld {
  const former = state.readers[index];
  const plain = transitionRevisions(former.state, event);
  const step = options.mutateStep?.(plain, event) ?? plain;
  const calls = step.effects.filter(
    (effect): effect is TableEffect =>
      effect.kind !== 'apply' && effect.kind !== 'ask_peer',
  );
  const highest = Math.max(former.highest, step.state.snapshot.revision);
  const next: Reader = {state: step.state, pending: calls[0], highest};
  const [first, second] = state.readers;
  const readers =
    index === 0 ? ([next, second] as const) : ([first, next] as const);
  return {...state, readers};
}

function noteHistory(state: RevisionWorld): RevisionWorld {
  const {table} = state.world;
  const version = table[HEAD_KEY]?.version ?? 0;
  if (version < state.history.length) {
    return state;
  }
  const rows = scanTable(table, OBJECTS_PREFIX);
  const {objects} = snapshotFromRows(rows, brandAs(version));
  return {...state, history: [...state.history, canonicalJson(objects)]};
}

function findRevisionViolation(state: RevisionWorld): string | undefined {
  for (const {state: reader, highest} of state.readers) {
    const {revision, objects} = reader.snapshot;
    if (revision < highest) {
      return 'a reader went back to a lower revision';
    }
    if (canonicalJson(objects) !== state.history[revision]) {
      return 'a snapshot equals no revision';
    }
  }
  const hasFalseOutcome = state.operators.some(({state: ticket}) => {
    const kind = ticket?.outcome?.kind;
    const number = ticket?.ticket.number ?? brandAs<ChangeTicketNumber>(0);
    const taken = ticketKey(number) in state.world.table;
    const refused = kind === 'superseded' || kind === 'unavailable';
    return (kind === 'accepted' && !taken) || (refused && taken);
  });
  return hasFalseOutcome ? 'the outcome of a ticket is false' : undefined;
}
