/**
 * Reads the newest revision from the table: the head row, then either the one
 * ticket since the own revision, or all objects by a scan, confirmed by reading
 * the head row again.
 */

import {
  brandAs,
  type ChangeTicketNumber,
  type Revision,
} from '@snipestage/types/ids.js';
import type {ReadResult, Row} from '@snipestage/types/table.js';
import {adoptSnapshot, confirm} from './revision_adoption.js';
import type {PollState, RevisionState, RevisionStep} from './revisions.js';
import {
  applyDelta,
  snapshotFromRows,
  type ConfigurationDelta,
} from './snapshots.js';
import {findRow, startCall} from './table_effects.js';
import {
  HEAD_KEY,
  OBJECTS_PREFIX,
  ticketKey,
  type HeadValue,
  type TicketValue,
} from './ticket_rows.js';

const MAX_SCANS_PER_POLL = 5;

/** Starts a poll; a poll that is under way is abandoned. */
export function startPoll(state: RevisionState, nowMs: number): RevisionStep {
  // The call number of an unanswered poll is no longer awaited, so that a very
  // late answer can't be taken for a fresh one.
  const poll = {phase: 'reading_head', sentAtMs: nowMs} as const;
  return readKey({...state, poll}, HEAD_KEY);
}

/** Handles the rows that the poll awaits; an unavailable result ends it. */
export function handleReadResult(
  state: RevisionState,
  result: ReadResult,
): RevisionStep {
  const {poll} = state;
  if (result.kind === 'unavailable' || poll.phase === 'idle') {
    return {state: {...state, poll: {phase: 'idle'}}, effects: []};
  }
  switch (poll.phase) {
    case 'reading_head':
      return followHead(state, findRow(result.rows, HEAD_KEY), poll.sentAtMs);
    case 'reading_ticket':
      return adoptTicket(state, poll.head, result.rows, poll.sentAtMs);
    case 'scanning': {
      const objects = result.rows;
      const confirming = {...poll, phase: 'confirming', objects} as const;
      return readKey({...state, poll: confirming}, HEAD_KEY);
    }
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
  // Each ticket raises the head's version by one, so exactly one ticket is
  // missing, and its row, which is never rewritten, has all changes.
  const key = ticketKey((head.value as HeadValue).ticket);
  const poll = {phase: 'reading_ticket', sentAtMs, head} as const;
  return readKey({...state, poll}, key);
}

function adoptTicket(
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
  const step = adoptSnapshot(idle, applyDelta(state.snapshot, delta), delta);
  return {...step, state: confirm(step.state, sentAtMs)};
}

function scan(
  state: RevisionState,
  head: Row,
  sentAtMs: number,
  scans: number,
): RevisionStep {
  const poll = {phase: 'scanning', sentAtMs, head, scans} as const;
  return startCall({...state, poll}, call => ({
    kind: 'scan',
    call,
    prefix: OBJECTS_PREFIX,
  }));
}

function confirmScan(
  state: RevisionState,
  poll: PollState & {readonly phase: 'confirming'},
  head: Row,
): RevisionStep {
  // A ticket accepted during the scan would result in a mix of two revisions,
  // such as an endpoint whose model is missing. Every ticket raises the head's
  // version, so an unchanged head shows that none was accepted meanwhile.
  if (head.version !== poll.head.version) {
    return poll.scans < MAX_SCANS_PER_POLL
      ? scan(state, head, poll.sentAtMs, poll.scans + 1)
      : {state: {...state, poll: {phase: 'idle'}}, effects: []};
  }
  const revision = brandAs<Revision>(head.version);
  const snapshot = snapshotFromRows(poll.objects, revision);
  const step = adoptSnapshot({...state, poll: {phase: 'idle'}}, snapshot);
  return {...step, state: confirm(step.state, poll.sentAtMs)};
}

function readKey(state: RevisionState, key: string): RevisionStep {
  return startCall(state, call => ({kind: 'read', call, keys: [key]}));
}
