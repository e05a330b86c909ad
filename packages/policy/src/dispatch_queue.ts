/** The order in which requests that wait in a cell are dispatched and shed. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {
  AttemptId,
  ClientAccountId,
  InstanceId,
  RequestClassId,
} from '@snipestage/types/ids.js';
import type {PermitAsk} from '@snipestage/types/permits.js';

/** A request that waits, as the queue keeps it. */
export interface WaitingRequest {
  readonly ask: PermitAsk;
  readonly instance: InstanceId;
  readonly arrivedAtMs: number;
  /** When its first token becomes worthless. */
  readonly deadlineAtMs: number;
  /** Rises with each arrival at the cell. */
  readonly arrival: number;
}

/** Whom a token was produced for. */
export interface ServedWork {
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
}

/** How much waits in one class, for the state dump. */
export interface ClassQueueSnapshot {
  readonly requestClass: RequestClassId;
  readonly tier: number;
  readonly waiting: number;
  readonly accounts: ReadonlyArray<{
    readonly clientAccount: ClientAccountId;
    readonly waiting: number;
    readonly virtualTokens: number;
  }>;
}

/** Rates measured in the cell, for the expected wait. */
export interface CellRates {
  /** Requests a second that the cell finishes while busy; 0 if not known. */
  readonly drainPerSecond: number;
  /** Requests a second that arrive in tiers above the given one. */
  arrivalsAbove(tier: number): number;
}

/** Where requests of a cell wait; how they are ordered is the policy. */
export abstract class DispatchQueue {
  abstract readonly size: number;

  /** The request classes in force. */
  abstract configure(classes: readonly RequestClass[]): void;

  abstract has(attempt: AttemptId): boolean;

  abstract add(request: WaitingRequest): void;

  /** Takes out a request that is not to be dispatched. */
  abstract remove(attempt: AttemptId): WaitingRequest | undefined;

  /** All that wait, in no order that matters; a copy. */
  abstract all(): WaitingRequest[];

  /** All that wait, the next to be dispatched first. */
  abstract inDispatchOrder(): Iterable<WaitingRequest>;

  /** Takes out a request that has got a permit; its class has had its turn. */
  abstract dispatch(attempt: AttemptId): void;

  /**
   * Whom to refuse when `incoming` has arrived and the cell is full; `incoming`
   * itself, unless another one comes first.
   */
  abstract chooseVictim(incoming: WaitingRequest): WaitingRequest;

  /** Requests that wait and count against the most that may wait. */
  abstract countAgainstLimit(): number;

  /** How long `request` would wait, were it added now. */
  abstract expectedWaitMs(request: WaitingRequest, rates: CellRates): number;

  /** Charges tokens to an account; negative ones correct an expectation. */
  abstract charge(work: ServedWork, tokens: number): void;

  abstract snapshot(): ClassQueueSnapshot[];
}

const MS_PER_SECOND = 1000;

/**
 * How long a number of requests takes at a rate; 0 when the rate is not known,
 * so that nothing is refused on a guess.
 *
 * @example
 * drainTimeMs(20, 10); // 2000
 */
export function drainTimeMs(requests: number, perSecond: number): number {
  if (perSecond <= 0) return 0;
  return (requests / perSecond) * MS_PER_SECOND;
}
