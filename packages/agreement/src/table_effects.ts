/**
 * Effects that the agreement protocols emit, and the events that the process
 * feeds back. A protocol is a pure function of a state and an event; the process
 * carries out each effect and feeds its result back under the same call number.
 */

import {ABSENT} from '@snipestage/types/store_version.js';
import type {
  ReadResult,
  Row,
  TableTransaction,
  TransactionResult,
} from '@snipestage/types/table.js';

/** A table call, or a wait, whose result the process feeds back. */
export type TableEffect =
  | {
      readonly kind: 'read';
      readonly call: number;
      readonly keys: readonly string[];
    }
  | {readonly kind: 'scan'; readonly call: number; readonly prefix: string}
  | {
      readonly kind: 'transact';
      readonly call: number;
      readonly transaction: TableTransaction;
    }
  | {readonly kind: 'wait'; readonly call: number; readonly delayMs: number};

/** The result of an effect; `nowMs` is from the process's monotonic clock. */
export type TableEvent =
  | {
      readonly kind: 'read_answered';
      readonly call: number;
      readonly result: ReadResult;
      readonly nowMs: number;
    }
  | {
      readonly kind: 'transaction_answered';
      readonly call: number;
      readonly result: TransactionResult;
      readonly nowMs: number;
    }
  | {readonly kind: 'waited'; readonly call: number; readonly nowMs: number};

/** Result of a transition: the next state and the effects to carry out. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * Starts the one call that a state awaits, under the next number. Protocols
 * ignore results with another number, such as a late one of an earlier call.
 *
 * @example
 * startCall({...state, phase: 'reading'}, call => ({kind: 'read', call, keys}));
 */
export function startCall<State extends {readonly call: number}, Effect>(
  state: State,
  effectOf: (call: number) => Effect,
): Step<State, Effect> {
  const call = state.call + 1;
  return {state: {...state, call}, effects: [effectOf(call)]};
}

/**
 * The row of a key among rows read; an absent row has no version.
 *
 * @example
 * findRow([], 'leases/orders'); // {key: 'leases/orders', version: ABSENT, value: null}
 */
export function findRow(rows: readonly Row[], key: string): Row {
  return (
    rows.find(row => row.key === key) ?? {key, version: ABSENT, value: null}
  );
}

/**
 * Exponential backoff in milliseconds before a repeated call, without
 * randomness: protocols are pure, and the process adds jitter when it sets the
 * timer.
 *
 * @example
 * retryDelayMs(3); // 400
 */
export function retryDelayMs(attempt: number): number {
  return Math.min(
    MAX_RETRY_DELAY_MS,
    FIRST_RETRY_DELAY_MS * 2 ** (attempt - 1),
  );
}

const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2000;
