/** A first-in-first-out queue without tiers, used by the baselines. */

import type {AttemptId} from '@snipestage/types/ids.js';
import {
  DispatchQueue,
  type ClassQueueSnapshot,
  type WaitingRequest,
} from './dispatch_queue.js';

/**
 * Dispatches in order of arrival and refuses new requests when it is full.
 *
 * @example
 * const queue = new FifoQueue();
 */
export class FifoQueue extends DispatchQueue {
  private readonly waiting = new Map<AttemptId, WaitingRequest>();

  get size(): number {
    return this.waiting.size;
  }

  configure(): void {}

  has(attempt: AttemptId): boolean {
    return this.waiting.has(attempt);
  }

  add(request: WaitingRequest): void {
    this.waiting.set(request.ask.attempt, request);
  }

  remove(attempt: AttemptId): WaitingRequest | undefined {
    const request = this.waiting.get(attempt);
    this.waiting.delete(attempt);
    return request;
  }

  all(): WaitingRequest[] {
    return [...this.waiting.values()];
  }

  inDispatchOrder(): Iterable<WaitingRequest> {
    return this.waiting.values();
  }

  dispatch(attempt: AttemptId): void {
    this.waiting.delete(attempt);
  }

  chooseVictim(incoming: WaitingRequest): WaitingRequest {
    return incoming;
  }

  countAgainstLimit(): number {
    return this.waiting.size;
  }

  /**
   * 0, so that nothing is refused on arrival, only once it has waited too long.
   */
  expectedWaitMs(): number {
    return 0;
  }

  charge(): void {}

  snapshot(): ClassQueueSnapshot[] {
    const byClass = new Map<string, ClassQueueSnapshot>();
    for (const {ask} of this.waiting.values()) {
      const waiting = byClass.get(ask.requestClass)?.waiting ?? 0;
      byClass.set(ask.requestClass, {
        requestClass: ask.requestClass,
        tier: ask.tier,
        waiting: waiting + 1,
        accounts: [],
      });
    }
    return [...byClass.values()];
  }
}
