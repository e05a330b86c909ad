/** Limits that endpoints announce are kept by all instances together. */

import type {AnnouncedRateLimit, History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';
import {countWithin} from './limits.js';

const SPAN_MS = 4000;
const OVERAGE = 1.5;
const SLACK_REQUESTS = 5;
/** An instance is bound so long after it received a limit. */
const BOUND_AFTER_MS = 500;

/** A rate-limited endpoint gets little more than it announced. */
export class RateLimits extends Check {
  readonly name = 'rate_limits';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    return history.rateLimits.flatMap(limit => {
      const arrivals = listBound(history, known, limit);
      const {endpoint, rateLimitPerS} = limit;
      const most = OVERAGE * rateLimitPerS * (SPAN_MS / 1000) + SLACK_REQUESTS;
      const fromMs = arrivals.find(
        atMs => countWithin(arrivals, atMs, atMs + SPAN_MS) > most,
      );
      if (fromMs === undefined) return [];
      const count = countWithin(arrivals, fromMs, fromMs + SPAN_MS);
      return [this.found(`${count} requests in 4 s at ${endpoint}`, fromMs)];
    });
  }
}

/** Arrivals at a rate-limited endpoint from undisturbed instances that knew its limit. */
function listBound(
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
    const life = nameLife(request);
    const before = sentAtMs.get(life) ?? Number.POSITIVE_INFINITY;
    sentAtMs.set(life, Math.min(before, rateLimitSentAtMs));
  }
  const {contactMs} = history.bounds;
  return runs.flatMap(({requestId, arrivedAtMs}) => {
    const request = known.get(requestId);
    const knownAtMs = request && sentAtMs.get(nameLife(request));
    if (request === undefined || knownAtMs === undefined) return [];
    const isBound =
      arrivedAtMs > fromMs + contactMs &&
      arrivedAtMs > knownAtMs + BOUND_AFTER_MS &&
      history.isCalm([request.instance], knownAtMs, arrivedAtMs);
    return isBound ? [arrivedAtMs] : [];
  });
}

function nameLife({instance, life}: SentRequest): string {
  return `${instance} ${life}`;
}
