/** Bounds on attempts, on times passed to endpoints and on abandoned work. */

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

const TIME_LEFT_SLACK_MS = 500;

/** Endpoints receive a time left, of no more than the caller has left. */
export class TimeHandedOn extends Check {
  readonly name = 'time_handed_on';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const endsAtMs =
        request.sentAtMs + request.callerTimeoutMs + TIME_LEFT_SLACK_MS;
      const wrong = history
        .arrivalsOf(request.requestId)
        .filter(
          ({timeLeftMs, arrivedAtMs}) =>
            timeLeftMs === undefined || arrivedAtMs + timeLeftMs > endsAtMs,
        );
      const isFair = history.hadStoreContact(
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
const RETRY_SLACK_COUNT = 30;

/** Further attempts of all instances together stay within the retry budget. */
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
      const sent = maxSentCount(history, fromMs);
      if (extra <= RETRY_RATIO * sent + RETRY_SLACK_COUNT) continue;
      return [this.found(`${extra} further attempts for ${sent}`, fromMs)];
    }
    return [];
  }
}

/**
 * Largest number of requests sent in the window, or in the one that starts half
 * a window or a whole window earlier.
 */
function maxSentCount({requests}: History, fromMs: number): number {
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

const HANG_UP_SLACK_MS = 500;

/** No attempt starts for a caller that has hung up. */
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
          arrivedAtMs > leftAtMs + HANG_UP_SLACK_MS &&
          history.hadStoreContact(request.instance, leftAtMs, arrivedAtMs),
      );
  }
}

/** Number of times from `fromMs` up to, but not including, `toMs`. */
export function countWithin(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter(atMs => atMs >= fromMs && atMs < toMs).length;
}
