/** Admits attempts; during a shutdown only those that can still finish. */

import {RequestError} from '@snipestage/errors/request_error.js';
import {
  decideStart,
  type AttemptLimit,
} from '@snipestage/policy/stop_admission.js';
import type {MonotonicClock} from '../clock.js';

/** Options of {@link StopGate}. */
export interface StopGateOptions {
  readonly clock: MonotonicClock;
}

/** A request that has not run and waits to start. */
interface WaitingStart {
  readonly limit: AttemptLimit;
  readonly abort: AbortController;
  timer?: NodeJS.Timeout;
}

/** Longest delay of a Node.js timer; with a longer one it fires at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Every attempt is checked here before it starts. A stopping process still
 * receives requests: on open connections, from its queues, and from a load
 * balancer that hasn't noticed the stop. A request that is sent to an endpoint
 * without enough time to finish is cut off when the sockets close: the caller
 * sees half an answer, or can't know whether its booking was made. Such a
 * request is refused as not run instead.
 */
export class StopGate {
  private endsAtMs: number | undefined;
  private readonly waiting = new Set<WaitingStart>();

  constructor(private readonly options: StopGateOptions) {}

  /**
   * Announces the time at which the instance aborts what still runs. When
   * called more than once, the earliest time counts.
   */
  close(endsAtMs: number): void {
    this.endsAtMs = Math.min(endsAtMs, this.endsAtMs ?? endsAtMs);
    for (const start of this.waiting) this.review(start);
  }

  /**
   * @throws RequestError `shutting_down`, verdict `not_run`, when an attempt
   * that starts now could not finish before the instance stops.
   * @example
   * gate.check({kind: 'timeout', timeoutMs: service.timeoutMs});
   */
  check(limit: AttemptLimit): void {
    const decision = this.decide(limit);
    if (decision.kind === 'refuse') throw shuttingDown(decision.retryAfterMs);
  }

  /**
   * Runs a wait that precedes an attempt, such as the one for a permit, and
   * aborts it once the attempt could no longer finish in time. The wait must
   * end when the signal passed to it aborts.
   *
   * @throws RequestError as {@link check} does, and what the wait throws.
   * @example
   * await gate.whileStartable(limit, signal, s => permits.acquire(request, s));
   */
  async whileStartable<T>(
    limit: AttemptLimit,
    signal: AbortSignal,
    wait: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    this.check(limit);
    const start: WaitingStart = {limit, abort: new AbortController()};
    this.waiting.add(start);
    this.review(start);
    try {
      return await wait(AbortSignal.any([signal, start.abort.signal]));
    } finally {
      clearTimeout(start.timer);
      this.waiting.delete(start);
    }
  }

  private review(start: WaitingStart): void {
    clearTimeout(start.timer);
    const decision = this.decide(start.limit);
    if (decision.kind === 'refuse') {
      start.abort.abort(shuttingDown(decision.retryAfterMs));
      return;
    }
    if (decision.latestStartMs === Number.POSITIVE_INFINITY) return;
    const leftMs = decision.latestStartMs - this.options.clock();
    start.timer = setTimeout(
      () => this.review(start),
      // Attempts may still start at `latestStartMs` itself; a timer without the
      // extra millisecond could fire before it is over, and again at once.
      Math.min(leftMs + 1, MAX_TIMER_MS),
    );
  }

  private decide(limit: AttemptLimit) {
    const nowMs = this.options.clock();
    return decideStart({limit, nowMs, stopEndsAtMs: this.endsAtMs});
  }
}

/**
 * The refusal of requests that a stopping instance can't finish.
 *
 * @example
 * throw shuttingDown(1000);
 */
export function shuttingDown(retryAfterMs: number): RequestError {
  return new RequestError('The instance is shutting down.', {
    code: 'shutting_down',
    verdict: 'not_run',
    retryAfterMs,
  });
}
