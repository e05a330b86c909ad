/**
 * Planned stops lose no request, no process ends by itself, service recovers.
 */

import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {ENGINE_PAUSE} from '../fault_plan.js';
import type {History, ProcessEnd, SentRequest} from '../history.js';
import {Check, describeOutcome, type Finding} from './check.js';

const TERMINATED = 'terminated';
const RELOAD_SIGNAL = 'SIGHUP';
/** In this last share of the grace time requests in flight may be cut off. */
const GRACE_CUT_OFF_SHARE = 1 / 6;
/** Provided that they were sent before the stop could have been noticed. */
const STOP_UNNOTICED_MS = 3000;

/**
 * A request that an instance has read gets an answer, also around a planned
 * stop. A request that arrives just as its connection closes may be lost, as
 * long as it was not passed on.
 */
export class NothingLost extends Check {
  readonly name = 'nothing_lost';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      if (request.outcome?.kind !== 'broken') return [];
      const {instance, sentAtMs, endedAtMs = Infinity} = request;
      const fromMs = sentAtMs - history.bounds.contactMs;
      const subjects = [instance, 'store'] as const;
      const isFair = history.isUndisturbed(subjects, fromMs, endedAtMs, [
        TERMINATED,
      ]);
      if (!isFair || this.wasCutByGrace(history, request)) return [];
      if (lostItsLinks(history, request)) return [];
      if (hasRunOutOfTime(request)) return [];
      const fault = this.describeFault(history, request);
      if (fault === undefined) return [];
      return [
        this.foundFor(request, `${fault}${describeStop(history, request)}`),
      ];
    });
  }

  private describeFault(
    history: History,
    request: SentRequest,
  ): string | undefined {
    const {requestId, lastByteAtMs, endedAtMs = Infinity} = request;
    const arrivals = history.arrivalsOf(requestId);
    const endpoints = arrivals.map(({endpoint}) =>
      brandAs<EndpointId>(endpoint),
    );
    const {contactMs, lossSlackMs} = history.bounds;
    const areEndpointsUndisturbed = history.isUndisturbed(
      endpoints,
      request.sentAtMs - contactMs,
      endedAtMs,
      // Its engine goes on, whether or not another one has room.
      [ENGINE_PAUSE],
    );
    if (arrivals.length > 0) {
      return areEndpointsUndisturbed
        ? 'passed on and closed without an answer'
        : undefined;
    }
    if (lastByteAtMs === undefined) return undefined;
    const heldMs = endedAtMs - lastByteAtMs;
    return heldMs > lossSlackMs
      ? `closed without an answer after ${Math.round(heldMs)} ms`
      : undefined;
  }

  private wasCutByGrace(history: History, request: SentRequest): boolean {
    const {graceMs} = history.bounds;
    const {instance, sentAtMs, endedAtMs = Infinity} = request;
    return history.disturbances.some(
      ({subject, kind, fromMs}) =>
        subject === instance &&
        kind === TERMINATED &&
        sentAtMs <= fromMs + STOP_UNNOTICED_MS &&
        endedAtMs > fromMs + graceMs * (1 - GRACE_CUT_OFF_SHARE),
    );
  }
}

/** A stream that has begun can only be closed when its caller's time is over. */
function hasRunOutOfTime(request: SentRequest): boolean {
  const {events, sentAtMs, callerTimeoutMs, endedAtMs = Infinity} = request;
  const hasBegun = events !== undefined && events.lastId > 0;
  return hasBegun && endedAtMs >= sentAtMs + callerTimeoutMs;
}

/**
 * Whether instances lost their links to endpoints while the request ran: it may
 * have run over one of them, at its instance or at one that forwarded it.
 */
function lostItsLinks(
  {instanceCuts}: History,
  {sentAtMs, endedAtMs = Infinity}: SentRequest,
): boolean {
  return instanceCuts.some(
    ({fromMs}) => sentAtMs <= fromMs && fromMs <= endedAtMs,
  );
}

/** Times since the stop, which tell new connections from earlier ones. */
function describeStop(history: History, request: SentRequest): string {
  const {instance, sentAtMs, connectedAtMs} = request;
  const stop = history.disturbances.findLast(
    ({subject, kind, fromMs}) =>
      subject === instance && kind === TERMINATED && fromMs <= sentAtMs,
  );
  if (stop === undefined || connectedAtMs === undefined) return '';
  const sentMs = Math.round(sentAtMs - stop.fromMs);
  const connectedMs = Math.round(connectedAtMs - stop.fromMs);
  return `, sent ${sentMs} ms after a stop, connected ${connectedMs} ms after it`;
}

/** Processes end only when told to, in time and without an error. */
export class ProperEnds extends Check {
  readonly name = 'proper_ends';

  find(history: History): readonly Finding[] {
    return history.ends.flatMap(end => {
      const {cause, instance, code, signal, tookMs, atMs, lastError} = end;
      if (cause === 'killed' || this.wasStillStarting(end)) return [];
      if (cause === undefined) {
        const how = signal ?? code;
        const message = `${instance} ended by itself (${how}): ${lastError}`;
        return [this.found(message, atMs)];
      }
      const isInTime = tookMs <= history.bounds.graceMs;
      if (code === 0 && isInTime) return [];
      const message = `${instance} ended with ${code} after ${Math.round(tookMs)} ms`;
      return [this.found(message, atMs)];
    });
  }

  /**
   * A signal that arrives before a process runs its first line has the system's
   * default effect: it ends the process, and so does the signal to reload. The
   * process has accepted no requests by then.
   */
  private wasStillStarting(end: ProcessEnd): boolean {
    const {cause, code, signal, wasReady} = end;
    const wasSignalled = cause === TERMINATED || signal === RELOAD_SIGNAL;
    return wasSignalled && code === null && !wasReady;
  }
}

const MAX_LINE_CHARACTERS = 300;

/**
 * Nothing that an instance reads makes one of its tasks fail unexpectedly. Read
 * from the logs: callers don't see that a task has ended.
 */
export class NoUnhandledError extends Check {
  readonly name = 'no_unhandled_error';

  find({unhandledErrors, faultsEndedAtMs}: History): readonly Finding[] {
    return unhandledErrors.map(({instance, line}) => {
      const message = `${instance}: ${line.slice(0, MAX_LINE_CHARACTERS)}`;
      return this.found(message, faultsEndedAtMs);
    });
  }
}

const RECOVERY_MS = 6000;
const MIN_SERVED_SHARE = 0.9;

/** Requests are served again some time after the last fault. */
export class ServesAgain extends Check {
  readonly name = 'serves_again';

  find(history: History): readonly Finding[] {
    const fromMs = history.faultsEndedAtMs + RECOVERY_MS;
    const late = history.requests.filter(
      ({sentAtMs, key, marker, outcome}) =>
        sentAtMs >= fromMs &&
        outcome?.kind !== 'left' &&
        marker === undefined &&
        !history.keyWithdrawals.has(key),
    );
    const served = late.filter(wasServed);
    if (late.length === 0) return [];
    if (served.length >= MIN_SERVED_SHARE * late.length) return [];
    const others = countOutcomes(late.filter(each => !wasServed(each)));
    const message = `${served.length} of ${late.length} served at the end (others: ${others})`;
    return [this.found(message, fromMs)];
  }
}

function wasServed({outcome}: SentRequest): boolean {
  return outcome?.kind === 'answered' && outcome.status === 200;
}

/** What requests met and how many each, as in `503: 2, broken: 1`. */
function countOutcomes(requests: readonly SentRequest[]): string {
  const counts = new Map<string, number>();
  for (const request of requests) {
    const met = describeOutcome(request);
    counts.set(met, (counts.get(met) ?? 0) + 1);
  }
  return [...counts].map(([met, count]) => `${met}: ${count}`).join(', ');
}
