/** Requests that crash endpoints are stopped. */

import type {Run} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {History} from '../history.js';
import {Check, type Finding} from './check.js';

const CRASHES_BEFORE_LIMIT = 3;
const MAX_LATE_ARRIVALS = 3;

/**
 * Some time after a request has crashed three endpoints, hardly any further
 * endpoint gets it, whichever instance it comes to.
 */
export class CrashingRequests extends Check {
  readonly name = 'crashing_requests';

  find(history: History): readonly Finding[] {
    return groupByContent(history.runs).flatMap(runs => {
      const crashes = runs.flatMap(({crashedAtMs}) => crashedAtMs ?? []);
      crashes.sort((left, right) => left - right);
      const thirdAtMs = crashes[CRASHES_BEFORE_LIMIT - 1];
      if (thirdAtMs === undefined) return [];
      const late = listLate(history, runs, thirdAtMs);
      if (late.length <= MAX_LATE_ARRIVALS) return [];
      const message = `${late.length} late arrivals of a request that crashed ${crashes.length} endpoints (${runs[0].path})`;
      return [this.found(message, late[MAX_LATE_ARRIVALS].arrivedAtMs)];
    });
  }
}

function groupByContent(runs: readonly Run[]): readonly Run[][] {
  const groups = new Map<string, Run[]>();
  for (const run of runs) {
    const key = `${run.path} ${run.clientAccount} ${run.bodyDigest}`;
    const group = groups.get(key) ?? [];
    group.push(run);
    groups.set(key, group);
  }
  return [...groups.values()];
}

/** Arrivals from instances that had to know of the third crash. */
function listLate(
  history: History,
  runs: readonly Run[],
  thirdAtMs: number,
): readonly Run[] {
  const known = new Map(history.requests.map(each => [each.requestId, each]));
  return runs.filter(({requestId, arrivedAtMs}) => {
    const request = known.get(requestId);
    if (request === undefined) return false;
    const isLate = request.sentAtMs > thirdAtMs + history.bounds.contactMs;
    return isLate && history.hadStoreContact(request.instance, arrivedAtMs);
  });
}
