/** Streams hold one software version each, and go on at it. */

import type {History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';

/** No stream holds events of two versions, in one answer or over tries. */
export class OneVersion extends Check {
  readonly name = 'one_version';

  find(history: History): readonly Finding[] {
    const seen = new Map<string, ReadonlySet<string>>();
    return history.requests.flatMap(request => {
      const stream = request.takesUp?.firstAttempt ?? request.requestId;
      const before = seen.get(stream) ?? new Set();
      const versions = new Set([
        ...before,
        ...(request.events?.versions ?? []),
      ]);
      seen.set(stream, versions);
      const isBroken = versions.size > 1 && versions.size > before.size;
      const message = `a stream of versions ${[...versions].join(' and ')}`;
      return isBroken ? [this.foundFor(request, message)] : [];
    });
  }
}

/** With fewer resumptions the share says nothing. */
const MIN_RESUMPTIONS = 12;
const MIN_SHARE_RATIO = 1 / 2;
const MIN_ENGINES = 2;

/**
 * Streams that callers take up go on at least half as often as new streams
 * begin, at instances in touch, while two engines of their version serve.
 */
export class StreamsGoOn extends Check {
  readonly name = 'streams_go_on';

  find(history: History): readonly Finding[] {
    const streams = history.requests.filter(
      each =>
        each.isResumable &&
        each.outcome?.kind !== 'left' &&
        each.outcome?.kind !== 'not_connected' &&
        !history.keyWithdrawals.has(each.key) &&
        history.hadStoreContact(each.instance, each.sentAtMs, each.endedAtMs),
    );
    const begun = streams.filter(({takesUp}) => takesUp === undefined);
    const resumed = streams.filter(each => isServable(history, each));
    if (resumed.length < MIN_RESUMPTIONS) return [];
    const [goesOn, begins] = [resumed, begun].map(shareWithEvents);
    if (goesOn >= MIN_SHARE_RATIO * begins) return [];
    const message = `${percent(goesOn)} of ${resumed.length} resumed streams went on, ${percent(begins)} of ${begun.length} began`;
    return [this.found(message, resumed[0].sentAtMs)];
  }
}

/** Whether a stream is taken up while two engines of its version serve. */
function isServable(history: History, request: SentRequest): boolean {
  const {takesUp, sentAtMs} = request;
  if (takesUp === undefined) return false;
  const first = history.requests.find(
    ({requestId}) => requestId === takesUp.firstAttempt,
  );
  const version = first?.events?.versions[0];
  const engines = [...history.engineVersions.values()].filter(
    each =>
      each.version === version &&
      each.fromMs <= sentAtMs - history.bounds.contactMs &&
      each.toMs > sentAtMs,
  );
  return engines.length >= MIN_ENGINES;
}

function shareWithEvents(requests: readonly SentRequest[]): number {
  const withEvents = requests.filter(
    ({events, outcome}) =>
      (events?.lastId ?? 0) > 0 ||
      (outcome?.kind === 'answered' && outcome.status === 200),
  );
  return withEvents.length / Math.max(1, requests.length);
}

function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
