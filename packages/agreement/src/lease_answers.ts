/**
 * Handles results of table calls for a lease: who holds it, and whether a write
 * of this instance started or renewed a term.
 */

import {eraOf, type StoreVersion} from '@snipestage/types/store_version.js';
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
  isTokenOfEra,
  matchingFenceVersion,
  type LeaseValue,
} from './lease_rows.js';
import {endHeldTerm} from './lease_writes.js';
import {findRow, startCall} from './table_effects.js';

/** Handles the result of a write; unless it committed, the row is read back. */
export function handleWriteResult(
  state: LeaseState,
  result: TransactionResult,
  nowMs: number,
): LeaseStep {
  const {pending, options} = state;
  if (pending?.kind !== 'write') {
    return {state, effects: []};
  }
  if (result.kind !== 'committed') {
    // Unknown: shows neither that a term started nor that it is lost. Conflict:
    // a write of this instance whose answer was lost may have changed the row.
    // Both are settled by reading the row back.
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

/** Handles the row, from a poll or read back after a write. */
export function handleReadResult(
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
    return settleWrite(state, row, matchingFenceVersion(fence, row), nowMs);
  }
  const noted = noteRow(state, row, nowMs);
  const {held} = noted;
  const isHeldInEra =
    held === undefined || isTokenOfEra(held.fencingToken, row.version);
  return isHeldInEra ? {state: noted, effects: []} : endHeldTerm(noted);
}

/** Applies the row known after a write; a term counts from before its sending. */
function settleWrite(
  state: LeaseState,
  row: Row,
  fenceVersion: StoreVersion | undefined,
  nowMs: number,
): LeaseStep {
  const {pending} = state;
  const noted = noteRow(state, row, nowMs);
  if (pending === undefined || pending.kind === 'poll') {
    return {state: noted, effects: []};
  }
  const value = row.value as LeaseValue | null;
  if (value === null || value.incarnation !== pending.wanted.incarnation) {
    return endHeldTerm(noted);
  }
  // A write of a former era may land in this one, under a token of the former.
  if (!isTokenOfEra(pending.wanted.fencingToken, row.version)) {
    return endHeldTerm(noted);
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
  fenceVersion: StoreVersion | undefined,
  nowMs: number,
): LeaseStep {
  const {termMs, marginMs} = state.options;
  const version = takes ? fenceVersion : state.held?.fenceVersion;
  const termEndsAtMs = sentAtMs + termMs - marginMs;
  if (version === undefined || nowMs >= termEndsAtMs) {
    // The term ended before its start was known, or the fence's version isn't
    // known: the next tick takes the lease under a higher token.
    return endHeldTerm(state);
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
  const number = eraOf(row.version);
  const era =
    state.era?.number === number ? state.era : {number, sinceMs: nowMs};
  return {...state, seen, era, pending: undefined};
}
