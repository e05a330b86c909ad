/**
 * Lease with a fencing token, after C. Gray and D. Cheriton, "Leases" (1989):
 * at most one instance considers itself the holder at any time, without
 * synchronized clocks.
 *
 * The holder counts its term from the moment before it sent the renewal, less a
 * margin. A challenger takes a lease that was not released only after the row
 * has stayed unchanged for a term and a margin, counted from the moment after it
 * first read that row. The margin covers clocks that run at different speeds. It
 * does not cover a clock that stops while its machine is suspended: such a holder
 * may consider its term valid for too long, so instances must use a clock that
 * counts suspension, or not be suspended.
 *
 * Table calls per lease: `1 / renewEvery` writes a second by the holder and
 * `c / pollEvery` reads a second by its `c` challengers.
 */

import type {
  FencingToken,
  Incarnation,
  InstanceId,
  LeaseName,
} from '@snipestage/types/ids.js';
import type {Row} from '@snipestage/types/table.js';
import {handleReadResult, handleWriteResult} from './lease_answers.js';
import {leaseKey, type LeaseTerm, type LeaseValue} from './lease_rows.js';
import {endHeldTerm, renew, retire, startNewTerm} from './lease_writes.js';
import {
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';

/** Options of {@link beginLease}. */
export interface LeaseOptions {
  readonly name: LeaseName;
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly termMs: number;
  readonly marginMs: number;
  readonly renewEveryMs: number;
  readonly pollEveryMs: number;
}

/** The term that this instance holds. */
export interface HeldLease extends LeaseTerm {
  /** From this instant on another instance may hold the lease. */
  readonly termEndsAtMs: number;
  readonly renewedAtMs: number;
  /** The former holder released the lease; it may have acted a moment ago. */
  readonly followsRelease: boolean;
}

/** State of a lease at one instance. */
export interface LeaseState {
  readonly options: LeaseOptions;
  readonly call: number;
  /** The call under way. */
  readonly pending: PendingLeaseCall | undefined;
  /** The row as last read or written, and since when its version is known. */
  readonly seen: {readonly row: Row; readonly sinceMs: number} | undefined;
  /** The store's era, and since when it is known; see {@link isSettled}. */
  readonly era: {readonly number: number; readonly sinceMs: number} | undefined;
  readonly polledAtMs: number | undefined;
  readonly held: HeldLease | undefined;
  /** Releases the lease and does not take it again. */
  readonly retiring: boolean;
}

/** A call under way. */
export type PendingLeaseCall = {readonly kind: 'poll'} | PendingLeaseWrite;

/** A write whose result is awaited, or whose row is being read back. */
export interface PendingLeaseWrite {
  readonly kind: 'write' | 'read_back';
  /** The row's value if the write takes effect. */
  readonly wanted: LeaseValue;
  /** Starts a term under a new token rather than renewing or releasing one. */
  readonly takes: boolean;
  readonly sentAtMs: number;
  /** See {@link HeldLease.followsRelease}. */
  readonly followsRelease: boolean;
}

export type LeaseEvent =
  | TableEvent
  /** Must come often, at intervals of a small part of `renewEveryMs`. */
  | {readonly kind: 'tick'; readonly nowMs: number}
  /** Graceful shutdown, once nothing is under way under the lease. */
  | {readonly kind: 'retire'; readonly nowMs: number};

export type LeaseEffect =
  | TableEffect
  | {readonly kind: 'acquired'; readonly held: HeldLease}
  | {readonly kind: 'extended'; readonly held: HeldLease}
  /** Stop at once: reset connections that carry orders, drop planned work. */
  | {readonly kind: 'lost'; readonly fencingToken: FencingToken};

export type LeaseStep = Step<LeaseState, LeaseEffect>;

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
    era: undefined,
    polledAtMs: undefined,
    held: undefined,
    retiring: false,
  };
}

/**
 * The term, if this instance may act under the lease at `nowMs`. Must be called
 * in the same turn of the event loop in which an order's bytes are written.
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
 * Handles a tick, the result of a call, or the request to release the lease.
 *
 * @example
 * const {state, effects} = transitionLease(before, {kind: 'tick', nowMs});
 */
export function transitionLease(
  before: LeaseState,
  event: LeaseEvent,
): LeaseStep {
  const state = event.kind === 'retire' ? {...before, retiring: true} : before;
  const expiry = endExpiredTerm(state, event.nowMs);
  const step = handleEvent(expiry.state, event);
  const last = releaseAfterPending(state.pending, step, event.nowMs);
  const effects = [...expiry.effects, ...step.effects, ...last.effects];
  return {state: last.state, effects};
}

/**
 * Releases the lease as soon as the call that was under way at `retire` has
 * ended: a process that stops sends no more ticks, and without the release its
 * successor would wait for the whole term. A release that failed is repeated by
 * the next tick, if there is one.
 */
function releaseAfterPending(
  former: PendingLeaseCall | undefined,
  {state}: LeaseStep,
  nowMs: number,
): LeaseStep {
  const ended = former !== undefined && state.pending === undefined;
  const wasRelease = former?.kind !== 'poll' && former?.wanted.released;
  return state.retiring && ended && !wasRelease
    ? retire(state, nowMs)
    : {state, effects: []};
}

function handleEvent(state: LeaseState, event: LeaseEvent): LeaseStep {
  switch (event.kind) {
    case 'tick':
      return state.pending === undefined
        ? startNextCall(state, event.nowMs)
        : {state, effects: []};
    case 'retire':
      return state.pending === undefined
        ? startNextCall(state, event.nowMs)
        : endHeldTerm(state);
    case 'read_answered':
      return event.call === state.call
        ? handleReadResult(state, event.result, event.nowMs)
        : {state, effects: []};
    case 'transaction_answered':
      return event.call === state.call
        ? handleWriteResult(state, event.result, event.nowMs)
        : {state, effects: []};
    case 'waited':
      return {state, effects: []};
  }
}

function endExpiredTerm(state: LeaseState, nowMs: number): LeaseStep {
  const lapsed =
    state.held !== undefined && leaseInForce(state, nowMs) === undefined;
  return lapsed ? endHeldTerm(state) : {state, effects: []};
}

/** Renews, releases, takes or polls, if due; no call may be under way. */
function startNextCall(state: LeaseState, nowMs: number): LeaseStep {
  const {options, held, seen, polledAtMs} = state;
  if (state.retiring) {
    return retire(state, nowMs);
  }
  if (held !== undefined && seen !== undefined) {
    const due = nowMs - held.renewedAtMs >= options.renewEveryMs;
    return due ? renew(state, seen.row, nowMs) : {state, effects: []};
  }
  if (seen !== undefined && isFree(state, seen, nowMs)) {
    return startNewTerm(state, seen.row, nowMs);
  }
  const due =
    polledAtMs === undefined || nowMs - polledAtMs >= options.pollEveryMs;
  return due ? poll(state, nowMs) : {state, effects: []};
}

function isFree(
  state: LeaseState,
  seen: NonNullable<LeaseState['seen']>,
  nowMs: number,
): boolean {
  const {options} = state;
  const value = seen.row.value as LeaseValue | null;
  // A former term of this instance is over, as none is held: no need to wait.
  const own = value?.incarnation === options.incarnation;
  const hasLapsed = nowMs - seen.sinceMs >= options.termMs + options.marginMs;
  const isVacant = value === null || value.released || own || hasLapsed;
  return isVacant && isSettled(state, nowMs);
}

/**
 * Whether no term of a former era can be in force. After the store was set back,
 * the row may not be the last holder's; its term has ended once a term and a
 * margin have passed since the new era was first seen. An instance that has just
 * started doesn't know how old the era is, and waits too.
 */
function isSettled({options, era}: LeaseState, nowMs: number): boolean {
  if (era === undefined || era.number === 0) return true;
  return nowMs - era.sinceMs >= options.termMs + options.marginMs;
}

function poll(state: LeaseState, nowMs: number): LeaseStep {
  const keys = [leaseKey(state.options.name)];
  const polling = {
    ...state,
    polledAtMs: nowMs,
    pending: {kind: 'poll'},
  } as const;
  return startCall(polling, call => ({kind: 'read', call, keys}));
}
