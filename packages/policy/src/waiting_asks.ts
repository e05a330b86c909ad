/** Requests of one instance that wait for leave to run at a cell. */

import type {AttemptId} from '@snipestage/types/ids.js';
import type {PermitAsk} from '@snipestage/types/permits.js';

/** Weight of the newest wait in the mean. */
const WAIT_WEIGHT = 0.2;
/** In this time a mean wait that is not renewed falls to 1/e. */
const WAIT_DECAY_MS = 2000;

/** A request that waits, and when it was last asked for. */
export interface WaitingAsk {
  readonly ask: PermitAsk;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  askedAtMs: number;
}

/** Keeps what waits and how long waits have been. */
export class WaitingAsks {
  private readonly asks = new Map<AttemptId, WaitingAsk>();
  private meanWaitMs = 0;
  private meanAtMs = 0;

  get size(): number {
    return this.asks.size;
  }

  has(attempt: AttemptId): boolean {
    return this.asks.has(attempt);
  }

  get(attempt: AttemptId): WaitingAsk | undefined {
    return this.asks.get(attempt);
  }

  add(ask: PermitAsk, nowMs: number): WaitingAsk {
    const deadlineAtMs = nowMs + ask.remainingMs;
    const waiting = {ask, arrivedAtMs: nowMs, deadlineAtMs, askedAtMs: nowMs};
    this.asks.set(ask.attempt, waiting);
    return waiting;
  }

  /** A copy, so that one may take requests out while going through it. */
  all(): WaitingAsk[] {
    return [...this.asks.values()];
  }

  remove(attempt: AttemptId): WaitingAsk | undefined {
    const waiting = this.asks.get(attempt);
    this.asks.delete(attempt);
    return waiting;
  }

  /** Takes out a request that may run. */
  started(attempt: AttemptId, nowMs: number): WaitingAsk | undefined {
    const waiting = this.remove(attempt);
    if (waiting !== undefined) this.measure(nowMs - waiting.arrivedAtMs, nowMs);
    return waiting;
  }

  /** A request has started without waiting. */
  startedAtOnce(nowMs: number): void {
    this.measure(0, nowMs);
  }

  /** What a request that comes now has to expect. */
  expectedWaitMs(nowMs: number): number {
    const [oldest] = this.asks.values();
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
