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
import type {Row} from '@snipestage/types/table.js';
import {takeRows, takeWrite} from './lease_answers.js';
import {leaseKey, type LeaseTerm, type LeaseValue} from './lease_rows.js';
import {lose, renew, retire, take} from './lease_writes.js';
import {
  startCall,
  type Step,
  type TableEffect,
  type TableEvent,
} from './table_effects.js';

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

/** A term of one's own. */
export interface HeldLease extends LeaseTerm {
  /** From here on the lease may be another's. */
  readonly termEndsAtMs: number;
  readonly renewedAtMs: number;
  /** The holder before gave it up; it may have acted a moment ago. */
  readonly followsRelease: boolean;
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
  /** See {@link HeldLease.followsRelease}. */
  readonly followsRelease: boolean;
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
  const last = releaseAfter(state.pending, step, event.nowMs);
  const effects = [...lapsed.effects, ...step.effects, ...last.effects];
  return {state: last.state, effects};
}

/**
 * A process that stops gives no more ticks: what was under way when it was told
 * to retire is followed by the release at once, or the successor would wait for
 * the whole term. A release that failed is left to a tick, if there is one.
 */
function releaseAfter(
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

function react(state: LeaseState, event: LeaseEvent): LeaseStep {
  switch (event.kind) {
    case 'tick':
      return state.pending === undefined
        ? act(state, event.nowMs)
        : {state, effects: []};
    case 'retire':
      return state.pending === undefined
        ? act(state, event.nowMs)
        : lose(state);
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
  const keys = [leaseKey(state.options.name)];
  const polling = {
    ...state,
    polledAtMs: nowMs,
    pending: {kind: 'poll'},
  } as const;
  return startCall(polling, call => ({kind: 'read', call, keys}));
}
