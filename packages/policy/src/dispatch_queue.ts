/** The order in which waiting requests of a cell are dispatched and shed. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {
  AttemptId,
  ClientAccountId,
  InstanceId,
  RequestClassId,
} from '@snipestage/types/ids.js';
import type {CellPermitRequest} from '@snipestage/types/permits.js';

/** A waiting request in the queue. */
export interface WaitingRequest {
  readonly ask: CellPermitRequest;
  readonly instance: InstanceId;
  readonly arrivedAtMs: number;
  /** Time after which the first token is worthless. */
  readonly deadlineAtMs: number;
  /** Number that increases with each arrival at the cell. */
  readonly arrival: number;
}

/** Account and class for which tokens were produced. */
export interface ServedWork {
  readonly clientAccount: ClientAccountId;
  readonly requestClass: RequestClassId;
}

/** Waiting requests of one class, for the state dump. */
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
  /** Requests a second that the cell finishes while busy; 0 if unknown. */
  readonly drainPerSecond: number;
  /** Requests a second that arrive in tiers above the given one. */
  arrivalsAbove(tier: number): number;
}

/** Queue of the waiting requests of a cell; subclasses define its order. */
export abstract class DispatchQueue {
  abstract readonly size: number;

  /** Sets the request classes in force. */
  abstract configure(classes: readonly RequestClass[]): void;

  abstract has(attempt: AttemptId): boolean;

  abstract add(request: WaitingRequest): void;

  /** Removes a request without dispatching it. */
  abstract remove(attempt: AttemptId): WaitingRequest | undefined;

  /** A copy of all waiting requests, in no particular order. */
  abstract all(): WaitingRequest[];

  /** All waiting requests, the next to be dispatched first. */
  abstract inDispatchOrder(): Iterable<WaitingRequest>;

  /** Removes a request that got a permit, and counts a turn for its class. */
  abstract dispatch(attempt: AttemptId): void;

  /**
   * Chooses the request to refuse when `incoming` has arrived and the cell is
   * full: `incoming` itself, unless another one is to be refused before it.
   */
  abstract chooseVictim(incoming: WaitingRequest): WaitingRequest;

  /** Number of waiting requests that count against the queue limit. */
  abstract countAgainstLimit(): number;

  /** Time that `request` would wait if it were added now. */
  abstract expectedWaitMs(request: WaitingRequest, rates: CellRates): number;

  /** Charges tokens to an account; negative ones correct an estimate. */
  abstract charge(work: ServedWork, tokens: number): void;

  abstract snapshot(): ClassQueueSnapshot[];
}

const MS_PER_SECOND = 1000;

/**
 * Time that a number of requests takes at a rate; 0 if the rate is unknown, so
 * that nothing is refused on a guess.
 *
 * @example
 * drainTimeMs(20, 10); // 2000
 */
export function drainTimeMs(requests: number, perSecond: number): number {
  if (perSecond <= 0) return 0;
  return (requests / perSecond) * MS_PER_SECOND;
}
