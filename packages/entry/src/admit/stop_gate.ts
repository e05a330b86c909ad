/** Lets attempts start, after a stop only those that can be finished. */

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

/** Something that has not run and waits to. */
interface WaitingStart {
  readonly limit: AttemptLimit;
  readonly abort: AbortController;
  timer?: NodeJS.Timeout;
}

/** A timer that is set for longer fires at once (Node.js timers). */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

/**
 * A process that was told to stop still gets requests: on connections that are
 * open, from its queues, and from a balancer that has not noticed. One that it
 * sends to an endpoint without time to finish it is cut with the sockets: the
 * caller sees half an answer, or can't know whether its booking was made. Every
 * start passes here, so that such a request is refused as not run instead.
 */
export class StopGate {
  private endsAtMs: number | undefined;
  private readonly waiting = new Set<WaitingStart>();

  constructor(private readonly options: StopGateOptions) {}

  /** The instance cuts what runs at that time; an earlier one counts. */
  close(endsAtMs: number): void {
    this.endsAtMs = Math.min(endsAtMs, this.endsAtMs ?? endsAtMs);
    for (const start of this.waiting) this.review(start);
  }

  /**
   * @throws RequestError `shutting_down`, verdict `not_run`, when an attempt
   * could not be finished.
   * @example
   * gate.check({kind: 'timeout', timeoutMs: service.timeoutMs});
   */
  check(limit: AttemptLimit): void {
    const decision = this.judge(limit);
    if (decision.kind === 'refuse') throw shuttingDown(decision.retryAfterMs);
  }

  /**
   * Waits for something that comes before an attempt, no longer than until the
   * attempt could not be finished any more. The wait has to end when the signal
   * it is given aborts.
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
    const decision = this.judge(start.limit);
    if (decision.kind === 'refuse') {
      start.abort.abort(shuttingDown(decision.retryAfterMs));
      return;
    }
    if (decision.latestStartMs === Number.POSITIVE_INFINITY) return;
    const leftMs = decision.latestStartMs - this.options.clock();
    start.timer = setTimeout(
      () => this.review(start),
      // A millisecond more, or it would fire before the time and again at once.
      Math.min(leftMs + 1, LONGEST_TIMER_MS),
    );
  }

  private judge(limit: AttemptLimit) {
    const nowMs = this.options.clock();
    return decideStart({limit, nowMs, stopEndsAtMs: this.endsAtMs});
  }
}

/**
 * The refusal of an instance that stops.
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
