/** The writes of a lease row: taking, renewing and releasing it. */

import type {Row} from '@snipestage/types/table.js';
import type {LeaseState, LeaseStep} from './lease.js';
import {composeLeaseWrite, nextToken, type LeaseValue} from './lease_rows.js';

/** Ends the term that this instance holds, if any, without a write. */
export function endHeldTerm(state: LeaseState): LeaseStep {
  if (state.held === undefined) {
    return {state, effects: []};
  }
  const {fencingToken} = state.held;
  return {
    state: {...state, held: undefined},
    effects: [{kind: 'lost', fencingToken}],
  };
}

/** Starts a term under the next fencing token; the lease must be free. */
export function startNewTerm(
  state: LeaseState,
  row: Row,
  nowMs: number,
): LeaseStep {
  const former = (row.value as LeaseValue | null)?.fencingToken;
  const {instance: holder, incarnation} = state.options;
  const wanted = {
    holder,
    incarnation,
    fencingToken: nextToken(former, row.version),
    released: false,
  };
  return write(state, row, {wanted, takes: true, nowMs});
}

/** Renews the term. */
export function renew(state: LeaseState, row: Row, nowMs: number): LeaseStep {
  const wanted = row.value as LeaseValue;
  return write(state, row, {wanted, takes: false, nowMs});
}

/** Ends the term and releases the lease, if its row is still this instance's. */
export function retire(state: LeaseState, nowMs: number): LeaseStep {
  const row = state.seen?.row;
  const value = (row?.value ?? null) as LeaseValue | null;
  const own = value?.incarnation === state.options.incarnation;
  // A successor may act as soon as the row is released, so the term ends first.
  const lost = endHeldTerm(state);
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
  // Each write has its own number, so that writes can be told apart when the row
  // is read back. Otherwise a renewal that was given up and arrived late could be
  // taken for a later one, and the term would be counted from too late a time.
  const wanted: LeaseValue = {...what.wanted, renewals: call};
  const transaction = composeLeaseWrite({name, row, wanted, takes});
  const former = row.value as LeaseValue | null;
  const followsRelease = takes
    ? former?.released === true
    : state.held?.followsRelease === true;
  const sentAtMs = what.nowMs;
  const pending = {
    kind: 'write',
    wanted,
    takes,
    sentAtMs,
    followsRelease,
  } as const;
  return {
    state: {...state, call, pending},
    effects: [{kind: 'transact', call, transaction}],
  };
}
