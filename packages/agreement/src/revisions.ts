/**
 * Keeps an instance at the newest revision that it has heard of, from the table
 * or from peers, and never goes back.
 *
 * Store calls: `r` instances that poll every `p` seconds read `r / p` rows a
 * second. For each ticket they meet alone they read one row more; for several
 * tickets between two polls, one scan and one row. Instances that hear of
 * revisions from peers read nothing.
 */

import type {ChangeTicketNumber, InstanceId} from '@snipestage/types/ids.js';
import {brandAs, type Revision} from '@snipestage/types/ids.js';
import type {ReadResult, Row} from '@snipestage/types/table.js';
import {
  applyDelta,
  diffSnapshots,
  EMPTY_SNAPSHOT,
  joinDeltas,
  snapshotFromRows,
  type ConfigurationDelta,
  type ConfigurationSnapshot,
} from './snapshots.js';
import {
  findRow,
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';
import {
  HEAD_KEY,
  OBJECTS_PREFIX,
  ticketKey,
  type HeadValue,
  type TicketValue,
} from './ticket_rows.js';

/** What an instance knows of the configuration. */
export interface RevisionState {
  readonly snapshot: ConfigurationSnapshot;
  /** Whether anything was ever learnt; without it an instance isn't ready. */
  readonly loaded: boolean;
  /**
   * The last moment at which the snapshot was known to be the newest; says how
   * long the instance has been cut off.
   */
  readonly confirmedAtMs: number | undefined;
  readonly recentDeltas: readonly ConfigurationDelta[];
  readonly call: number;
  readonly poll: PollState;
}

/** Where the reading of the table stands. */
export type PollState =
  | {readonly phase: 'idle'}
  | {readonly phase: 'reading_head'; readonly sentAtMs: number}
  | {
      readonly phase: 'reading_ticket';
      readonly sentAtMs: number;
      readonly head: Row;
    }
  | {
      readonly phase: 'scanning';
      readonly sentAtMs: number;
      readonly head: Row;
      readonly scans: number;
    }
  | {
      readonly phase: 'confirming';
      readonly sentAtMs: number;
      readonly head: Row;
      readonly scans: number;
      readonly objects: readonly Row[];
    };

/** What an instance hears about revisions, besides the table's answers. */
export type RevisionEvent =
  | TableEvent
  | {readonly kind: 'poll'; readonly nowMs: number}
  /** A peer tells its revision and how long ago it was known to be newest. */
  | {
      readonly kind: 'peer_revision';
      readonly peer: InstanceId;
      readonly revision: Revision;
      readonly confirmedAgeMs: number | undefined;
      readonly nowMs: number;
    }
  | {
      readonly kind: 'peer_delta';
      readonly peer: InstanceId;
      readonly delta: ConfigurationDelta;
      readonly nowMs: number;
    }
  | {
      readonly kind: 'peer_snapshot';
      readonly snapshot: ConfigurationSnapshot;
      readonly nowMs: number;
    };

export type RevisionEffect =
  | TableEffect
  /** Put it in force here and push it to peers. */
  | {
      readonly kind: 'apply';
      readonly snapshot: ConfigurationSnapshot;
      readonly delta: ConfigurationDelta;
    }
  /** Ask the peer for what came after `from`; see {@link answerPeer}. */
  | {
      readonly kind: 'ask_peer';
      readonly peer: InstanceId;
      readonly from: Revision;
    };

export type RevisionStep = Step<RevisionState, RevisionEffect>;

const MAX_RECENT_DELTAS = 64;
const MAX_SCANS_PER_POLL = 5;

/**
 * An instance that knows nothing yet.
 *
 * @example
 * let state = beginRevisions();
 */
export function beginRevisions(): RevisionState {
  return {
    snapshot: EMPTY_SNAPSHOT,
    loaded: false,
    confirmedAtMs: undefined,
    recentDeltas: [],
    call: 0,
    poll: {phase: 'idle'},
  };
}

/**
 * Takes in what was heard.
 *
 * @example
 * const {state, effects} = transitionRevisions(before, {kind: 'poll', nowMs});
 */
export function transitionRevisions(
  state: RevisionState,
  event: RevisionEvent,
): RevisionStep {
  switch (event.kind) {
    case 'poll':
      return startPoll(state, event.nowMs);
    case 'peer_revision':
      return hearRevision(state, event);
    case 'peer_delta':
      return event.delta.from > state.snapshot.revision
        ? askPeer(state, event.peer)
        : adopt(state, applyDelta(state.snapshot, event.delta), event.delta);
    case 'peer_snapshot':
      return adopt(state, event.snapshot);
    case 'read_answered':
      return event.call === state.call
        ? takeRows(state, event.result)
        : {state, effects: []};
    default:
      return {state, effects: []};
  }
}

/**
 * What to hand a peer that is at `from`: a delta if recent ones reach back that
 * far, else everything; nothing if the peer is as new.
 *
 * @example
 * const answer = answerPeer(state, peerRevision);
 */
export function answerPeer(
  state: RevisionState,
  from: Revision,
): ConfigurationDelta | ConfigurationSnapshot | undefined {
  if (from >= state.snapshot.revision) {
    return undefined;
  }
  return joinDeltas(state.recentDeltas, from) ?? state.snapshot;
}

function startPoll(state: RevisionState, nowMs: number): RevisionStep {
  // A poll that was not answered is given up: its call number is not awaited
  // any more, so that a very late answer can't pass for a fresh one.
  return call(state, {phase: 'reading_head', sentAtMs: nowMs}, next => ({
    kind: 'read',
    call: next,
    keys: [HEAD_KEY],
  }));
}

function takeRows(state: RevisionState, result: ReadResult): RevisionStep {
  const {poll} = state;
  if (result.kind === 'unavailable' || poll.phase === 'idle') {
    return {state: {...state, poll: {phase: 'idle'}}, effects: []};
  }
  switch (poll.phase) {
    case 'reading_head':
      return followHead(state, findRow(result.rows, HEAD_KEY), poll.sentAtMs);
    case 'reading_ticket':
      return takeTicket(state, poll.head, result.rows, poll.sentAtMs);
    case 'scanning':
      return call(
        state,
        {...poll, phase: 'confirming', objects: result.rows},
        next => ({kind: 'read', call: next, keys: [HEAD_KEY]}),
      );
    case 'confirming':
      return confirmScan(state, poll, findRow(result.rows, HEAD_KEY));
  }
}

function followHead(
  state: RevisionState,
  head: Row,
  sentAtMs: number,
): RevisionStep {
  const behindBy = head.version - state.snapshot.revision;
  if (behindBy <= 0) {
    const poll: PollState = {phase: 'idle'};
    return {state: confirm({...state, poll}, sentAtMs), effects: []};
  }
  if (behindBy > 1 || !state.loaded) {
    return scan(state, head, sentAtMs, 1);
  }
  // Each ticket raises the head's version, so one step is exactly one ticket,
  // and its row, which is never rewritten, holds all that changed.
  const key = ticketKey((head.value as HeadValue).ticket);
  return call(state, {phase: 'reading_ticket', sentAtMs, head}, next => ({
    kind: 'read',
    call: next,
    keys: [key],
  }));
}

function takeTicket(
  state: RevisionState,
  head: Row,
  rows: readonly Row[],
  sentAtMs: number,
): RevisionStep {
  const number: ChangeTicketNumber = (head.value as HeadValue).ticket;
  const row = findRow(rows, ticketKey(number));
  if (row.version === 0 || head.version !== state.snapshot.revision + 1) {
    return scan(state, head, sentAtMs, 1);
  }
  const delta: ConfigurationDelta = {
    from: state.snapshot.revision,
    to: brandAs<Revision>(head.version),
    changes: (row.value as TicketValue).ticket.changes,
  };
  const idle: RevisionState = {...state, poll: {phase: 'idle'}};
  const step = adopt(idle, applyDelta(state.snapshot, delta), delta);
  return {...step, state: confirm(step.state, sentAtMs)};
}

function scan(
  state: RevisionState,
  head: Row,
  sentAtMs: number,
  scans: number,
): RevisionStep {
  return call(state, {phase: 'scanning', sentAtMs, head, scans}, next => ({
    kind: 'scan',
    call: next,
    prefix: OBJECTS_PREFIX,
  }));
}

function confirmScan(
  state: RevisionState,
  poll: PollState & {readonly phase: 'confirming'},
  head: Row,
): RevisionStep {
  // A ticket accepted during the scan would leave a mix of two revisions in
  // force, such as an endpoint whose model is missing. Every ticket raises the
  // head's version, so an unchanged head means that the scan met none.
  if (head.version !== poll.head.version) {
    return poll.scans < MAX_SCANS_PER_POLL
      ? scan(state, head, poll.sentAtMs, poll.scans + 1)
      : {state: {...state, poll: {phase: 'idle'}}, effects: []};
  }
  const revision = brandAs<Revision>(head.version);
  const snapshot = snapshotFromRows(poll.objects, revision);
  const step = adopt({...state, poll: {phase: 'idle'}}, snapshot);
  return {...step, state: confirm(step.state, poll.sentAtMs)};
}

/** The only place where a snapshot comes into force, and only a higher one. */
function adopt(
  state: RevisionState,
  snapshot: ConfigurationSnapshot,
  knownDelta?: ConfigurationDelta,
): RevisionStep {
  if (snapshot.revision <= state.snapshot.revision) {
    return {state, effects: []};
  }
  const delta = knownDelta ?? diffSnapshots(state.snapshot, snapshot);
  const recentDeltas = [...state.recentDeltas, delta].slice(-MAX_RECENT_DELTAS);
  return {
    state: {...state, snapshot, recentDeltas, loaded: true},
    effects: [{kind: 'apply', snapshot, delta}],
  };
}

function hearRevision(
  state: RevisionState,
  event: RevisionEvent & {readonly kind: 'peer_revision'},
): RevisionStep {
  if (event.revision > state.snapshot.revision) {
    return askPeer(state, event.peer);
  }
  if (event.confirmedAgeMs === undefined) {
    return {state, effects: []};
  }
  return {
    state: confirm(state, event.nowMs - event.confirmedAgeMs),
    effects: [],
  };
}

function askPeer(state: RevisionState, peer: InstanceId): RevisionStep {
  const from = state.snapshot.revision;
  return {state, effects: [{kind: 'ask_peer', peer, from}]};
}

function confirm(state: RevisionState, atMs: number): RevisionState {
  const confirmedAtMs = Math.max(state.confirmedAtMs ?? -Infinity, atMs);
  return {...state, loaded: true, confirmedAtMs};
}

function call(
  state: RevisionState,
  poll: PollState,
  effectOf: (call: number) => TableEffect,
): RevisionStep {
  return startCall({...state, poll}, effectOf);
}
