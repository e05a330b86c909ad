/** Decides whether a stopping instance may still start an attempt. */

/**
 * When an attempt must have ended: at a fixed time, such as the deadline after
 * which a model's answer is worthless, or some time after its start, such as
 * the timeout of a service call.
 */
export type AttemptLimit =
  | {readonly kind: 'deadline'; readonly atMs: number}
  | {readonly kind: 'timeout'; readonly timeoutMs: number};

/** Input of {@link decideStart}; times are of one monotonic clock. */
export interface StartInput {
  readonly limit: AttemptLimit;
  readonly nowMs: number;
  /** When the instance cuts what still runs; absent unless it is stopping. */
  readonly stopEndsAtMs?: number;
}

export type StartDecision =
  /** It may start now or, if it has to wait, until `latestStartMs`. */
  | {readonly kind: 'start'; readonly latestStartMs: number}
  /** It has not run; another instance can serve it after `retryAfterMs`. */
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/**
 * Time kept free before the end of the grace time. A call's timeout begins when
 * its connection is open, which takes up to this long by default
 * (`routing.connectTimeoutMs`), and the answer still has to be sent.
 */
export const STOP_MARGIN_MS = 1000;

/**
 * The shortest time that a Retry-After header can express. The caller loses
 * nothing by trying again: its next connection reaches this instance only until
 * the load balancer has noticed the stop, and is then refused as quickly.
 */
export const STOP_RETRY_AFTER_MS = 1000;

/**
 * Admits only attempts that surely end before the instance does. An attempt
 * that is admitted and then cut may have run, so its caller can't safely send
 * it again; one that is refused now can run elsewhere a second later.
 *
 * @example
 * decideStart({limit: {kind: 'timeout', timeoutMs: 5000}, nowMs, stopEndsAtMs});
 */
export function decideStart(input: StartInput): StartDecision {
  const latestStartMs = latestStartOf(input);
  return input.nowMs <= latestStartMs
    ? {kind: 'start', latestStartMs}
    : {kind: 'refuse', retryAfterMs: STOP_RETRY_AFTER_MS};
}

function latestStartOf({limit, stopEndsAtMs}: StartInput): number {
  if (stopEndsAtMs === undefined) return Number.POSITIVE_INFINITY;
  const mustEndAtMs = stopEndsAtMs - STOP_MARGIN_MS;
  if (limit.kind === 'timeout') return mustEndAtMs - limit.timeoutMs;
  // It may run until its deadline, whenever it starts.
  return limit.atMs <= mustEndAtMs ? limit.atMs : Number.NEGATIVE_INFINITY;
}
