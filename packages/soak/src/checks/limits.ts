/** Bounds on further attempts, on time handed on and on work for nobody. */

import type {History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';

/** A request runs on at most as many endpoints as its route allows. */
export class MaxAttempts extends Check {
  readonly name = 'max_attempts';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const runs = history.runsOf(request.requestId).length;
      const isBroken = runs > request.maxAttempts;
      return isBroken ? [this.foundFor(request, `${runs} runs`)] : [];
    });
  }
}

const TIME_SLACK_MS = 500;

/** Endpoints are told of no more time than the caller has left. */
export class TimeHandedOn extends Check {
  readonly name = 'time_handed_on';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const endsAtMs =
        request.sentAtMs + request.callerTimeoutMs + TIME_SLACK_MS;
      const wrong = history
        .arrivalsOf(request.requestId)
        .filter(
          ({timeLeftMs, arrivedAtMs}) =>
            timeLeftMs === undefined || arrivedAtMs + timeLeftMs > endsAtMs,
        );
      const isFair = history.isInTouch(
        request.instance,
        request.sentAtMs,
        endsAtMs,
      );
      if (wrong.length === 0 || !isFair) return [];
      return [this.foundFor(request, `${wrong[0].timeLeftMs} ms at endpoint`)];
    });
  }
}

const RETRY_RATIO = 0.2;
const RETRY_WINDOW_MS = 10_000;
const RETRY_SLACK = 30;

/** Further attempts of all instances keep to their budget. */
export class RetryBudget extends Check {
  readonly name = 'retry_budget';

  find(history: History): readonly Finding[] {
    const seen = new Set<string>();
    const repeats: number[] = [];
    const ordered = [...history.runs].sort(
      (left, right) => left.arrivedAtMs - right.arrivedAtMs,
    );
    for (const {requestId, arrivedAtMs} of ordered) {
      if (seen.has(requestId)) repeats.push(arrivedAtMs);
      seen.add(requestId);
    }
    for (const fromMs of repeats) {
      const toMs = fromMs + RETRY_WINDOW_MS;
      const extra = countWithin(repeats, fromMs, toMs);
      const sent = mostSent(history, fromMs);
      if (extra <= RETRY_RATIO * sent + RETRY_SLACK) continue;
      return [this.found(`${extra} further attempts for ${sent}`, fromMs)];
    }
    return [];
  }
}

/** Requests of the window, the one before or the one half a window before. */
function mostSent({requests}: History, fromMs: number): number {
  const times = requests.map(({sentAtMs}) => sentAtMs);
  const starts = [0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS];
  const counts = starts.map(earlierMs =>
    countWithin(
      times,
      fromMs - earlierMs,
      fromMs - earlierMs + RETRY_WINDOW_MS,
    ),
  );
  return Math.max(...counts);
}

const GONE_AFTER_MS = 500;

/** Nothing is begun for a caller that has hung up. */
export class NothingForNobody extends Check {
  readonly name = 'nothing_for_nobody';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      if (request.outcome?.kind !== 'left') return [];
      return this.hasLateArrival(history, request)
        ? [this.foundFor(request, 'sent to an endpoint after its caller left')]
        : [];
    });
  }

  private hasLateArrival(history: History, request: SentRequest): boolean {
    const leftAtMs = request.endedAtMs ?? Number.POSITIVE_INFINITY;
    return history
      .arrivalsOf(request.requestId)
      .some(
        ({arrivedAtMs}) =>
          arrivedAtMs > leftAtMs + GONE_AFTER_MS &&
          history.isInTouch(request.instance, leftAtMs, arrivedAtMs),
      );
  }
}

/** Moments in a half-open span. */
export function countWithin(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter(atMs => atMs >= fromMs && atMs < toMs).length;
}
