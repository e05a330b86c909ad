/** The requests that this instance has taken in and not yet answered. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  ClientAccountId,
  KeyHash,
  RequestClassId,
  RequestId,
} from '@snipestage/types/ids.js';

/**
 * - `waiting`: for leave to run; no byte has left for an endpoint.
 * - `running`: it has leave; an endpoint may have it, or may be about to.
 * - `answering`: the caller has got the start of its answer.
 */
export type RequestPhase = 'waiting' | 'running' | 'answering';

/** One request in progress. */
export interface InFlightRequest {
  readonly id: RequestId;
  readonly clientAccount: ClientAccountId;
  readonly keyHash: KeyHash;
  readonly requestClass: RequestClassId;
  readonly arrivedAtMs: number;
  /** Aborting it ends the request; the reason is a `RequestError`. */
  readonly abort: AbortController;
  /** Whether it may be ended while it runs. */
  mayBeCut: boolean;
  phase: RequestPhase;
}

/** Counts requests, ends those of withdrawn keys, waits for the last. */
export class InFlightRequests {
  private readonly requests = new Map<RequestId, InFlightRequest>();
  private readonly waitersForNone: Array<() => void> = [];

  get count(): number {
    return this.requests.size;
  }

  countOf(clientAccount: ClientAccountId): number {
    let count = 0;
    for (const request of this.requests.values()) {
      if (request.clientAccount === clientAccount) count += 1;
    }
    return count;
  }

  countByClass(): Map<RequestClassId, {waiting: number; all: number}> {
    const counts = new Map<RequestClassId, {waiting: number; all: number}>();
    for (const {requestClass, phase} of this.requests.values()) {
      const count = counts.get(requestClass) ?? {waiting: 0, all: 0};
      count.all += 1;
      if (phase === 'waiting') count.waiting += 1;
      counts.set(requestClass, count);
    }
    return counts;
  }

  add(request: InFlightRequest): void {
    this.requests.set(request.id, request);
  }

  remove(id: RequestId): void {
    this.requests.delete(id);
    if (this.requests.size > 0) return;
    for (const resolve of this.waitersForNone.splice(0)) resolve();
  }

  /**
   * Ends the requests whose key is no longer in force: waiting ones as not
   * run, running ones with a clear error, unless they may not be repeated;
   * those have run already, so that cutting them would only hide the outcome.
   */
  endThoseWithout(isInForce: (keyHash: KeyHash) => boolean): void {
    for (const request of this.requests.values()) {
      if (isInForce(request.keyHash)) continue;
      const hasStarted = request.phase !== 'waiting';
      if (hasStarted && !request.mayBeCut) continue;
      request.abort.abort(
        new RequestError('The key has been withdrawn.', {
          code: 'key_withdrawn',
          verdict: hasStarted ? 'may_have_run' : 'not_run',
        }),
      );
    }
  }

  /** Resolves when none is left. */
  async whenNone(): Promise<void> {
    if (this.requests.size === 0) return;
    await new Promise<void>(resolve => this.waitersForNone.push(resolve));
  }

  /** Ends all that is left, when the time for a graceful end is over. */
  endAll(reason: RequestError): void {
    for (const request of this.requests.values()) request.abort.abort(reason);
  }

  /** For the state dump; holds no key. */
  snapshot(nowMs: number): object[] {
    return [...this.requests.values()].map(request => ({
      id: request.id,
      clientAccount: request.clientAccount,
      requestClass: request.requestClass,
      phase: request.phase,
      ageMs: Math.round(nowMs - request.arrivedAtMs),
    }));
  }
}
