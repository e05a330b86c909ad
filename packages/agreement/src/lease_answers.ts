/**
 * What a result says of a lease: whose it is, and whether a write of one's own
 * has started or prolonged a term.
 */

import type {
  ReadResult,
  Row,
  TransactionResult,
} from '@snipestage/types/table.js';
import type {
  HeldLease,
  LeaseState,
  LeaseStep,
  PendingLeaseWrite,
} from './lease.js';
import {
  fenceKey,
  leaseKey,
  versionOfOwn,
  type LeaseValue,
} from './lease_rows.js';
import {lose} from './lease_writes.js';
import {findRow, startCall} from './table_effects.js';

/** The result of a write; whatever is in doubt is read back. */
export function takeWrite(
  state: LeaseState,
  result: TransactionResult,
  nowMs: number,
): LeaseStep {
  const {pending, options} = state;
  if (pending?.kind !== 'write') {
    return {state, effects: []};
  }
  if (result.kind !== 'committed') {
    // Unknown: neither a term nor its loss may be read into it. Conflict: the
    // row may be one's own, by a write whose answer was lost. Both are read.
    return readBack(state, pending);
  }
  const key = leaseKey(options.name);
  const row: Row = {key, version: result.versions[key], value: pending.wanted};
  const fenceVersion = result.versions[fenceKey(options.name)];
  return settleWrite(state, row, fenceVersion, nowMs);
}

function readBack(state: LeaseState, write: PendingLeaseWrite): LeaseStep {
  const {name} = state.options;
  const keys = [leaseKey(name), fenceKey(name)];
  const pending = {...write, kind: 'read_back'} as const;
  return startCall({...state, pending}, call => ({kind: 'read', call, keys}));
}

/** The row, from a poll or read back after a write. */
export function takeRows(
  state: LeaseState,
  result: ReadResult,
  nowMs: number,
): LeaseStep {
  if (result.kind === 'unavailable') {
    return {state: {...state, pending: undefined}, effects: []};
  }
  const {name} = state.options;
  const row = findRow(result.rows, leaseKey(name));
  if (state.pending?.kind === 'read_back') {
    const fence = findRow(result.rows, fenceKey(name));
    return settleWrite(state, row, versionOfOwn(fence, row), nowMs);
  }
  return {state: noteRow(state, row, nowMs), effects: []};
}

/** The row is known after a write; a term counts from before it was sent. */
function settleWrite(
  state: LeaseState,
  row: Row,
  fenceVersion: number | undefined,
  nowMs: number,
): LeaseStep {
  const {pending} = state;
  const noted = noteRow(state, row, nowMs);
  if (pending === undefined || pending.kind === 'poll') {
    return {state: noted, effects: []};
  }
  const value = row.value as LeaseValue | null;
  if (value === null || value.incarnation !== pending.wanted.incarnation) {
    return lose(noted);
  }
  const tookEffect = value.renewals === pending.wanted.renewals;
  if (!tookEffect || value.released) {
    return {state: noted, effects: []};
  }
  return startTerm(noted, pending, fenceVersion, nowMs);
}

function startTerm(
  state: LeaseState,
  {wanted, takes, sentAtMs, followsRelease}: PendingLeaseWrite,
  fenceVersion: number | undefined,
  nowMs: number,
): LeaseStep {
  const {termMs, marginMs} = state.options;
  const version = takes ? fenceVersion : state.held?.fenceVersion;
  const termEndsAtMs = sentAtMs + termMs - marginMs;
  if (version === undefined || nowMs >= termEndsAtMs) {
    // Over before it was known of: the next tick takes it with a higher token.
    return lose(state);
  }
  const held: HeldLease = {
    fencingToken: wanted.fencingToken,
    fenceVersion: version,
    termEndsAtMs,
    renewedAtMs: sentAtMs,
    followsRelease,
  };
  const kind = takes ? 'acquired' : 'extended';
  return {state: {...state, held}, effects: [{kind, held}]};
}

function noteRow(state: LeaseState, row: Row, nowMs: number): LeaseState {
  const unchanged = state.seen?.row.version === row.version;
  const seen = unchanged ? state.seen : {row, sinceMs: nowMs};
  return {...state, seen, pending: undefined};
}
