/** The requests that this instance has admitted and not yet answered. */

import {RequestError} from '@snipestage/errors/request_error.js';
import type {
  ClientAccountId,
  KeyHash,
  RequestClassId,
  RequestId,
} from '@snipestage/types/ids.js';

/**
 * - `waiting`: has no permit yet; nothing has been sent to an endpoint.
 * - `running`: has got a permit; it may have been sent to an endpoint.
 * - `answering`: the first token of a model's answer has arrived.
 */
export type RequestPhase = 'waiting' | 'running' | 'answering';

/** One request in progress. */
export interface InFlightRequest {
  readonly id: RequestId;
  readonly clientAccount: ClientAccountId;
  readonly keyHash: KeyHash;
  readonly requestClass: RequestClassId;
  readonly arrivedAtMs: number;
  /**
   * Aborting it ends the request. The reason is a `RequestError`, except when
   * the caller has disconnected.
   */
  readonly abort: AbortController;
  /**
   * Whether it may be aborted once it runs, when its caller disconnects or its
   * key is withdrawn; a waiting one always may be.
   */
  mayBeAborted: boolean;
  phase: RequestPhase;
}

/** Counts requests, aborts those of withdrawn keys, waits for the last. */
export class InFlightRequests {
  private readonly requests = new Map<RequestId, InFlightRequest>();
  private readonly emptyWaiters: Array<() => void> = [];

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
    for (const resolve of this.emptyWaiters.splice(0)) resolve();
  }

  /**
   * Aborts the requests whose key is no longer in force: waiting ones with
   * verdict `not_run`, started ones with `may_have_run`. Started ones that may
   * not be aborted go on: they may have run already, and aborting them would
   * only hide the outcome.
   */
  abortWithdrawn(isInForce: (keyHash: KeyHash) => boolean): void {
    for (const request of this.requests.values()) {
      if (isInForce(request.keyHash)) continue;
      const hasStarted = request.phase !== 'waiting';
      if (hasStarted && !request.mayBeAborted) continue;
      request.abort.abort(
        new RequestError('The key has been withdrawn.', {
          code: 'key_withdrawn',
          verdict: hasStarted ? 'may_have_run' : 'not_run',
        }),
      );
    }
  }

  /** Resolves when no request is in flight. */
  async whenEmpty(): Promise<void> {
    if (this.requests.size === 0) return;
    await new Promise<void>(resolve => this.emptyWaiters.push(resolve));
  }

  /** Aborts all requests that are left when a shutdown's grace time is over. */
  abortAll(reason: RequestError): void {
    for (const request of this.requests.values()) request.abort.abort(reason);
  }

  /** For the state dump; contains no API keys. */
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
