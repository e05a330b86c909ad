/** Requests of one instance that wait for a permit of a cell. */

import type {AttemptId} from '@snipestage/types/ids.js';
import type {CellPermitRequest} from '@snipestage/types/permits.js';

/** Weight of the newest wait in the mean. */
const WAIT_WEIGHT = 0.2;
/** Time in which a mean wait without new samples decays to 1/e. */
const WAIT_DECAY_MS = 2000;

/** A waiting request, and when its permit was last requested. */
export interface PendingRequest {
  readonly ask: CellPermitRequest;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  lastSentAtMs: number;
}

/** Keeps the waiting requests and the mean of recent waits. */
export class PendingRequests {
  private readonly pendingRequests = new Map<AttemptId, PendingRequest>();
  private meanWaitMs = 0;
  private meanAtMs = 0;

  get size(): number {
    return this.pendingRequests.size;
  }

  has(attempt: AttemptId): boolean {
    return this.pendingRequests.has(attempt);
  }

  get(attempt: AttemptId): PendingRequest | undefined {
    return this.pendingRequests.get(attempt);
  }

  add(ask: CellPermitRequest, nowMs: number): PendingRequest {
    const deadlineAtMs = nowMs + ask.remainingMs;
    const waiting = {
      ask,
      arrivedAtMs: nowMs,
      deadlineAtMs,
      lastSentAtMs: nowMs,
    };
    this.pendingRequests.set(ask.attempt, waiting);
    return waiting;
  }

  /** A copy, so that requests may be removed while iterating over it. */
  all(): PendingRequest[] {
    return [...this.pendingRequests.values()];
  }

  remove(attempt: AttemptId): PendingRequest | undefined {
    const waiting = this.pendingRequests.get(attempt);
    this.pendingRequests.delete(attempt);
    return waiting;
  }

  /** Removes a request that may run, and records its wait. */
  started(attempt: AttemptId, nowMs: number): PendingRequest | undefined {
    const waiting = this.remove(attempt);
    if (waiting !== undefined) this.measure(nowMs - waiting.arrivedAtMs, nowMs);
    return waiting;
  }

  /** Records a request that started without waiting. */
  startedAtOnce(nowMs: number): void {
    this.measure(0, nowMs);
  }

  /** Expected wait of a request that arrives now. */
  expectedWaitMs(nowMs: number): number {
    const [oldest] = this.pendingRequests.values();
    const longestMs = oldest === undefined ? 0 : nowMs - oldest.arrivedAtMs;
    return Math.max(longestMs, this.decayedMeanMs(nowMs));
  }

  private measure(waitMs: number, nowMs: number): void {
    const meanMs = this.decayedMeanMs(nowMs);
    this.meanWaitMs = meanMs + (waitMs - meanMs) * WAIT_WEIGHT;
    this.meanAtMs = nowMs;
  }

  private decayedMeanMs(nowMs: number): number {
    return this.meanWaitMs * Math.exp((this.meanAtMs - nowMs) / WAIT_DECAY_MS);
  }
}
