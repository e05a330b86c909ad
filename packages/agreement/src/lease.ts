/**
 * Lease with a fencing token, after C. Gray and D. Cheriton, "Leases" (1989):
 * at most one holder believes that it is in charge, without clocks that agree.
 *
 * The holder counts its term from before it sent the renewal, less a margin. A
 * challenger takes over only after it has seen the row unchanged for a term and
 * a margin, from after it first read it. The margin covers clocks that run at
 * different speeds. A clock that stands still while its machine is suspended is
 * beyond that: such a holder may believe in its term for too long, so instances
 * must run on a clock that counts suspension, or not be suspended.
 *
 * Store calls a lease: `1 / renewEvery` writes a second by the holder and
 * `c / pollEvery` reads a second by its `c` challengers.
 */

import type {
  FencingToken,
  Incarnation,
  InstanceId,
  LeaseName,
} from '@snipestage/types/ids.js';
import {brandAs} from '@snipestage/types/ids.js';
import type {
  ReadResult,
  Row,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';
import {
  findRow,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';

/** Value of a lease row; it is never deleted, so that tokens only rise. */
export interface LeaseValue {
  readonly holder: InstanceId;
  readonly incarnation: Incarnation;
  readonly fencingToken: FencingToken;
  /** Unlike in any two writes of one incarnation; rises. */
  readonly renewals: number;
  /** Given up by its holder: a successor need not wait. */
  readonly released: boolean;
}

/** Value of a fence row, which changes only when the lease changes hands. */
export interface FenceValue {
  readonly fencingToken: FencingToken;
}

/** How a lease is kept. */
export interface LeaseOptions {
  readonly name: LeaseName;
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly termMs: number;
  readonly marginMs: number;
  readonly renewEveryMs: number;
  readonly pollEveryMs: number;
}

/** The term in whose name something is done. */
export interface LeaseTerm {
  readonly fencingToken: FencingToken;
  /** Version of the fence row: what a guarded transaction checks. */
  readonly fenceVersion: number;
}

/** A term of one's own. */
export interface HeldLease extends LeaseTerm {
  /** From here on the lease may be another's. */
  readonly termEndsAtMs: number;
  readonly renewedAtMs: number;
}

/** What one instance knows of a lease. */
export interface LeaseState {
  readonly options: LeaseOptions;
  readonly call: number;
  /** The call under way. */
  readonly pending: PendingLeaseCall | undefined;
  /** The row as last seen, and since when it has been like that. */
  readonly seen: {readonly row: Row; readonly sinceMs: number} | undefined;
  readonly polledAtMs: number | undefined;
  readonly held: HeldLease | undefined;
  /** Gives the lease up and does not take it again. */
  readonly retiring: boolean;
}

/** A call under way. */
export type PendingLeaseCall = {readonly kind: 'poll'} | PendingLeaseWrite;

/** A write whose result is awaited, or read back. */
export interface PendingLeaseWrite {
  readonly kind: 'write' | 'read_back';
  /** The row's value if it takes effect. */
  readonly wanted: LeaseValue;
  /** Starts a term under a new token, rather than prolongs one. */
  readonly takes: boolean;
  readonly sentAtMs: number;
}

export type LeaseEvent =
  | TableEvent
  /** To be given often, a small part of `renewEveryMs` apart. */
  | {readonly kind: 'tick'; readonly nowMs: number}
  /** Graceful shutdown, once nothing is under way in the lease's name. */
  | {readonly kind: 'retire'; readonly nowMs: number};

export type LeaseEffect =
  | TableEffect
  | {readonly kind: 'acquired'; readonly held: HeldLease}
  | {readonly kind: 'extended'; readonly held: HeldLease}
  /** Stop at once: reset connections that carry orders, drop what is planned. */
  | {readonly kind: 'lost'; readonly fencingToken: FencingToken};

export type LeaseStep = Step<LeaseState, LeaseEffect>;

/**
 * @example
 * leaseKey(brandAs<LeaseName>('orders/akl-a')); // 'leases/orders/akl-a'
 */
export function leaseKey(name: LeaseName): string {
  return `leases/${name}`;
}

/**
 * Key of the row that transactions in the lease's name check. Renewals leave it
 * alone, so they don't make such transactions fail.
 *
 * @example
 * fenceKey(brandAs<LeaseName>('orders/akl-a')); // 'fences/orders/akl-a'
 */
export function fenceKey(name: LeaseName): string {
  return `fences/${name}`;
}

/**
 * @example
 * let state = beginLease(options);
 */
export function beginLease(options: LeaseOptions): LeaseState {
  return {
    options,
    call: 0,
    pending: undefined,
    seen: undefined,
    polledAtMs: undefined,
    held: undefined,
    retiring: false,
  };
}

/**
 * The lease, if one may act in its name right now. To be asked in the same turn
 * of the event loop in which an order's bytes are handed over.
 *
 * @example
 * const mayStillSend = () => leaseInForce(state, now()) !== undefined;
 */
export function leaseInForce(
  state: LeaseState,
  nowMs: number,
): HeldLease | undefined {
  const {held} = state;
  return held !== undefined && nowMs < held.termEndsAtMs ? held : undefined;
}

/**
 * Takes in a tick, a result or the wish to give the lease up.
 *
 * @example
 * const {state, effects} = transitionLease(before, {kind: 'tick', nowMs});
 */
export function transitionLease(
  before: LeaseState,
  event: LeaseEvent,
): LeaseStep {
  const state = event.kind === 'retire' ? {...before, retiring: true} : before;
  const lapsed = dropLapsed(state, event.nowMs);
  const step = react(lapsed.state, event);
  return {...step, effects: [...lapsed.effects, ...step.effects]};
}

function react(state: LeaseState, event: LeaseEvent): LeaseStep {
  switch (event.kind) {
    case 'tick':
    case 'retire':
      return state.pending === undefined
        ? act(state, event.nowMs)
        : {state, effects: []};
    case 'read_answered':
      return event.call === state.call
        ? takeRows(state, event.result, event.nowMs)
        : {state, effects: []};
    case 'transaction_answered':
      return event.call === state.call
        ? takeWrite(state, event.result, event.nowMs)
        : {state, effects: []};
    case 'waited':
      return {state, effects: []};
  }
}

function dropLapsed(state: LeaseState, nowMs: number): LeaseStep {
  const lapsed =
    state.held !== undefined && leaseInForce(state, nowMs) === undefined;
  return lapsed ? lose(state) : {state, effects: []};
}

function lose(state: LeaseState): LeaseStep {
  if (state.held === undefined) {
    return {state, effects: []};
  }
  const {fencingToken} = state.held;
  return {
    state: {...state, held: undefined},
    effects: [{kind: 'lost', fencingToken}],
  };
}

/** Nothing is under way: renew, release, take, poll, or leave it. */
function act(state: LeaseState, nowMs: number): LeaseStep {
  const {options, held, seen, polledAtMs} = state;
  if (state.retiring) {
    return retire(state, nowMs);
  }
  if (held !== undefined && seen !== undefined) {
    const due = nowMs - held.renewedAtMs >= options.renewEveryMs;
    return due ? renew(state, seen.row, nowMs) : {state, effects: []};
  }
  if (seen !== undefined && isFree(state, seen, nowMs)) {
    return take(state, seen.row, nowMs);
  }
  const due =
    polledAtMs === undefined || nowMs - polledAtMs >= options.pollEveryMs;
  return due ? poll(state, nowMs) : {state, effects: []};
}

function isFree(
  {options}: LeaseState,
  seen: NonNullable<LeaseState['seen']>,
  nowMs: number,
): boolean {
  const value = seen.row.value as LeaseValue | null;
  // One's own former term is over, or it would be held; no need to wait for it.
  const own = value?.incarnation === options.incarnation;
  return (
    value === null ||
    value.released ||
    own ||
    nowMs - seen.sinceMs >= options.termMs + options.marginMs
  );
}

function poll(state: LeaseState, nowMs: number): LeaseStep {
  const call = state.call + 1;
  const keys = [leaseKey(state.options.name)];
  return {
    state: {...state, call, polledAtMs: nowMs, pending: {kind: 'poll'}},
    effects: [{kind: 'read', call, keys}],
  };
}

function take(state: LeaseState, row: Row, nowMs: number): LeaseStep {
  const former = (row.value as LeaseValue | null)?.fencingToken ?? 0;
  const {instance: holder, incarnation} = state.options;
  const wanted = {
    holder,
    incarnation,
    fencingToken: brandAs<FencingToken>(former + 1),
    released: false,
  };
  return write(state, row, {wanted, takes: true, nowMs});
}

function renew(state: LeaseState, row: Row, nowMs: number): LeaseStep {
  const wanted = row.value as LeaseValue;
  return write(state, row, {wanted, takes: false, nowMs});
}

/** Gives the lease up, if the row is still one's own. */
function retire(state: LeaseState, nowMs: number): LeaseStep {
  const row = state.seen?.row;
  const value = (row?.value ?? null) as LeaseValue | null;
  const own = value?.incarnation === state.options.incarnation;
  // A successor may act as soon as the row says so: stop first, then write.
  const lost = lose(state);
  if (row === undefined || !own || value.released) {
    return lost;
  }
  const wanted = {...value, released: true};
  const step = write(lost.state, row, {wanted, takes: false, nowMs});
  return {...step, effects: [...lost.effects, ...step.effects]};
}

function write(
  state: LeaseState,
  row: Row,
  what: {
    readonly wanted: Omit<LeaseValue, 'renewals'>;
    readonly takes: boolean;
    readonly nowMs: number;
  },
): LeaseStep {
  const call = state.call + 1;
  const {name} = state.options;
  const {takes} = what;
  // Two renewals that look alike could not be told apart when read back: one
  // that was given up and arrived late would be taken for the later one, and
  // the term counted from too late. So each write has a number of its own.
  const wanted: LeaseValue = {...what.wanted, renewals: call};
  const fence: FenceValue = {fencingToken: wanted.fencingToken};
  const transaction: TableTransaction = {
    checks: [{key: leaseKey(name), version: row.version}],
    writes: [
      {key: leaseKey(name), value: wanted},
      ...(takes ? [{key: fenceKey(name), value: fence}] : []),
    ],
  };
  const pending = {kind: 'write', wanted, takes, sentAtMs: what.nowMs} as const;
  return {
    state: {...state, call, pending},
    effects: [{kind: 'transact', call, transaction}],
  };
}

function takeWrite(
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
  const call = state.call + 1;
  const {name} = state.options;
  return {
    state: {...state, call, pending: {...write, kind: 'read_back'}},
    effects: [{kind: 'read', call, keys: [leaseKey(name), fenceKey(name)]}],
  };
}

function takeRows(
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

/** The fence's version, unless it has changed hands since the row was read. */
function versionOfOwn(fence: Row, row: Row): number | undefined {
  const token = (fence.value as FenceValue | null)?.fencingToken;
  const own = (row.value as LeaseValue | null)?.fencingToken === token;
  return own ? fence.version : undefined;
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
  {wanted, takes, sentAtMs}: PendingLeaseWrite,
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
  };
  const kind = takes ? 'acquired' : 'extended';
  return {state: {...state, held}, effects: [{kind, held}]};
}

function noteRow(state: LeaseState, row: Row, nowMs: number): LeaseState {
  const unchanged = state.seen?.row.version === row.version;
  const seen = unchanged ? state.seen : {row, sinceMs: nowMs};
  return {...state, seen, pending: undefined};
}
