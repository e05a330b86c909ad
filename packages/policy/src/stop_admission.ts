/** Whether an instance that was told to stop may still start an attempt. */

/**
 * When an attempt has ended at the latest: at a fixed time, as the answer of a
 * model that is worthless after its deadline, or a time after its start, as a
 * call of a service.
 */
export type AttemptLimit =
  | {readonly kind: 'deadline'; readonly atMs: number}
  | {readonly kind: 'timeout'; readonly timeoutMs: number};

/** What {@link judgeStart} works from; times are of one monotonic clock. */
export interface StartQuestion {
  readonly limit: AttemptLimit;
  readonly nowMs: number;
  /** When the instance cuts what still runs; absent unless it stops. */
  readonly stopEndsAtMs?: number;
}

export type StartDecision =
  /** It may start now, and if it has to wait, until `latestStartMs`. */
  | {readonly kind: 'start'; readonly latestStartMs: number}
  /** It has not run; another instance can serve it after this time. */
  | {readonly kind: 'refuse'; readonly retryAfterMs: number};

/**
 * Kept free before the end of the grace time. A call's timeout begins when its
 * connection is open, which takes up to this by default
 * (`routing.connectTimeoutMs`), and the answer has to get out.
 */
export const STOP_MARGIN_MS = 1000;

/**
 * The shortest that a Retry-After header can say. The caller loses nothing by
 * coming back: its next connection goes to this instance again only until the
 * balancer has noticed the stop, and is then refused as quickly.
 */
export const STOP_RETRY_AFTER_MS = 1000;

/**
 * Takes only what surely ends before the instance does. What is taken and then
 * cut may have run, so that its caller can't safely send it again; what is
 * refused now runs elsewhere a second later.
 *
 * @example
 * judgeStart({limit: {kind: 'timeout', timeoutMs: 5000}, nowMs, stopEndsAtMs});
 */
export function judgeStart(question: StartQuestion): StartDecision {
  const latestStartMs = latestStartOf(question);
  return question.nowMs <= latestStartMs
    ? {kind: 'start', latestStartMs}
    : {kind: 'refuse', retryAfterMs: STOP_RETRY_AFTER_MS};
}

function latestStartOf({limit, stopEndsAtMs}: StartQuestion): number {
  if (stopEndsAtMs === undefined) return Number.POSITIVE_INFINITY;
  const mustEndAtMs = stopEndsAtMs - STOP_MARGIN_MS;
  if (limit.kind === 'timeout') return mustEndAtMs - limit.timeoutMs;
  // Whenever it starts, it has until its deadline.
  return limit.atMs <= mustEndAtMs ? limit.atMs : Number.NEGATIVE_INFINITY;
}
