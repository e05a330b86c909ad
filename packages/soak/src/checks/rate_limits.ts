/** All instances together keep to the rate limits that endpoints announce. */

import type {AnnouncedRateLimit, History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';
import {countWithin} from './limits.js';

const WINDOW_MS = 4000;
const ALLOWED_LIMIT_RATIO = 1.5;
const SLACK_REQUEST_COUNT = 5;
/** Instances have this long to apply a limit after an endpoint sent it. */
const LIMIT_APPLIES_AFTER_MS = 500;

/** A rate-limited endpoint gets few requests beyond the limit it announced. */
export class RateLimits extends Check {
  readonly name = 'rate_limits';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    return history.rateLimits.flatMap(limit => {
      const arrivals = listBoundArrivals(history, known, limit);
      const {endpoint, rateLimitPerS} = limit;
      const allowedCount =
        ALLOWED_LIMIT_RATIO * rateLimitPerS * (WINDOW_MS / 1000) +
        SLACK_REQUEST_COUNT;
      const fromMs = arrivals.find(
        atMs => countWithin(arrivals, atMs, atMs + WINDOW_MS) > allowedCount,
      );
      if (fromMs === undefined) return [];
      const count = countWithin(arrivals, fromMs, fromMs + WINDOW_MS);
      return [this.found(`${count} requests in 4 s at ${endpoint}`, fromMs)];
    });
  }
}

/**
 * Arrivals at a rate-limited endpoint from undisturbed instances that knew its
 * limit.
 */
function listBoundArrivals(
  history: History,
  known: ReadonlyMap<string, SentRequest>,
  {endpoint, fromMs, toMs}: AnnouncedRateLimit,
): readonly number[] {
  const runs = history.runs
    .filter(run => run.endpoint === endpoint && run.arrivedAtMs < toMs)
    .sort((left, right) => left.arrivedAtMs - right.arrivedAtMs);
  const sentAtMs = new Map<string, number>();
  for (const {requestId, rateLimitSentAtMs} of runs) {
    const request = known.get(requestId);
    if (request === undefined || rateLimitSentAtMs === undefined) continue;
    const processKey = processKeyOf(request);
    const before = sentAtMs.get(processKey) ?? Number.POSITIVE_INFINITY;
    sentAtMs.set(processKey, Math.min(before, rateLimitSentAtMs));
  }
  const {contactMs} = history.bounds;
  return runs.flatMap(({requestId, arrivedAtMs}) => {
    const request = known.get(requestId);
    const knownAtMs = request && sentAtMs.get(processKeyOf(request));
    if (request === undefined || knownAtMs === undefined) return [];
    const isBound =
      arrivedAtMs > fromMs + contactMs &&
      arrivedAtMs > knownAtMs + LIMIT_APPLIES_AFTER_MS &&
      history.isUndisturbed([request.instance], knownAtMs, arrivedAtMs);
    return isBound ? [arrivedAtMs] : [];
  });
}

function processKeyOf({instance, processNumber}: SentRequest): string {
  return `${instance} ${processNumber}`;
}
