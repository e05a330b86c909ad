/** Instances heed what endpoints announce in their answers. */

import type {Run} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import type {History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';
import {countWithin} from './limits.js';

const FREEZE = 'instance_freeze';

/**
 * An endpoint gets no requests from an instance that passed on an answer in
 * which it announced its leaving, whether or not the store can be reached.
 */
export class AnnouncedLeavings extends Check {
  readonly name = 'announced_leavings';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    const firstKnownAtMs = new Map<string, number>();
    for (const run of history.runs) {
      const request = known.get(run.requestId);
      if (request === undefined || !wasPassedOn(run, request)) continue;
      const key = keyOf(request, run);
      const before = firstKnownAtMs.get(key) ?? Number.POSITIVE_INFINITY;
      const {endedAtMs = Number.POSITIVE_INFINITY} = request;
      firstKnownAtMs.set(key, Math.min(before, endedAtMs));
    }
    return listAddressed(history).flatMap(run => {
      const request = known.get(run.requestId);
      const knownAtMs = request && firstKnownAtMs.get(keyOf(request, run));
      if (request === undefined || knownAtMs === undefined) return [];
      const lateMs = request.sentAtMs - knownAtMs - history.bounds.drainMs;
      const isBound =
        lateMs > 0 && !wasFrozen(history, request, knownAtMs, run.arrivedAtMs);
      if (!isBound) return [];
      const message = `reached ${run.endpoint} ${Math.round(lateMs)} ms too late`;
      return [this.foundFor(request, message)];
    });
  }
}

/** From then on an instance has to respect a requested backoff. */
const BACKOFF_APPLIES_AFTER_MS = 500;
const MAX_REQUESTS_WITHIN_BACKOFF = 2;

/** An endpoint that requested backoff of an instance gets hardly anything from it. */
export class Backoffs extends Check {
  readonly name = 'backoffs';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    const arrivals = new Map<string, number[]>();
    for (const run of listAddressed(history)) {
      const request = known.get(run.requestId);
      if (request === undefined) continue;
      const key = keyOf(request, run);
      const times = arrivals.get(key) ?? [];
      times.push(run.arrivedAtMs);
      arrivals.set(key, times);
    }
    return history.runs.flatMap(run => {
      const request = known.get(run.requestId);
      if (request === undefined || run.requestedBackoff === undefined)
        return [];
      const {atMs, backoffMs} = run.requestedBackoff;
      const endsAtMs = atMs + backoffMs;
      const count = countWithin(
        arrivals.get(keyOf(request, run)) ?? [],
        atMs + BACKOFF_APPLIES_AFTER_MS,
        endsAtMs,
      );
      const isBound = history.isUndisturbed(
        [request.instance, brandAs<EndpointId>(run.endpoint)],
        atMs,
        endsAtMs,
      );
      if (count <= MAX_REQUESTS_WITHIN_BACKOFF || !isBound) return [];
      const message = `${count} further requests reached ${run.endpoint} within ${Math.round(backoffMs)} ms of backoff`;
      return [this.foundFor(request, message)];
    });
  }
}

/**
 * Arrivals without those that were for an endpoint which had the address before.
 */
function listAddressed({runs}: History): readonly Run[] {
  return runs.filter(({isMisdirected}) => isMisdirected !== true);
}

function wasPassedOn(run: Run, {outcome}: SentRequest): boolean {
  return (
    run.hasAnnouncedLeaving === true &&
    outcome?.kind === 'answered' &&
    outcome.signature === run.signature
  );
}

function wasFrozen(
  {disturbances}: History,
  {instance}: SentRequest,
  fromMs: number,
  toMs: number,
): boolean {
  return disturbances.some(each => {
    const isFreeze = each.subject === instance && each.kind === FREEZE;
    const isOverlapping = each.fromMs <= toMs && each.toMs >= fromMs;
    return isOverlapping && (isFreeze || each.subject === 'machine');
  });
}

function keyOf(
  {instance, processNumber}: SentRequest,
  {endpoint}: Run,
): string {
  return `${instance} ${processNumber} ${endpoint}`;
}
