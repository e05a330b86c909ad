/** Changes by the operator and by endpoints take effect in time and last. */

import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import type {History, SentRequest} from '../history.js';
import {Check, type Finding} from './check.js';

const NOT_FOUND_STATUS = 404;

/** No request runs under a withdrawn key. */
export class WithdrawnKeys extends Check {
  readonly name = 'withdrawn_keys';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const withdrawnAtMs = history.keyWithdrawals.get(request.key);
      if (withdrawnAtMs === undefined) return [];
      const {sentAtMs, instance, requestId} = request;
      const isBound =
        sentAtMs > withdrawnAtMs + history.bounds.configurationMs &&
        history.hadStoreContact(instance, sentAtMs);
      const hasRun = history.runsOf(requestId).length > 0;
      return isBound && hasRun
        ? [this.foundFor(request, 'ran under a withdrawn key')]
        : [];
    });
  }
}

/** An endpoint that has announced its leaving gets no new requests. */
export class LeavingEndpoints extends Check {
  readonly name = 'leaving_endpoints';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    return history.runs.flatMap(run => {
      const noticedAtMs = history.leavingNotices.get(run.endpoint);
      const request = known.get(run.requestId);
      if (noticedAtMs === undefined || request === undefined) return [];
      const lateMs = run.arrivedAtMs - noticedAtMs - history.bounds.drainMs;
      const isBound =
        lateMs > 0 &&
        history.hadStoreContact(request.instance, run.arrivedAtMs) &&
        history.isUndisturbed(
          ['store', brandAs<EndpointId>(run.endpoint)],
          noticedAtMs - history.bounds.contactMs,
          noticedAtMs,
        );
      if (!isBound) return [];
      const message = `reached ${run.endpoint} ${Math.round(lateMs)} ms too late`;
      return [this.foundFor(request, message)];
    });
  }
}

/** An evacuated data centre gets no new requests until it is restored. */
export class EvacuatedDataCentres extends Check {
  readonly name = 'evacuated_data_centres';

  find(history: History): readonly Finding[] {
    const known = new Map(history.requests.map(each => [each.requestId, each]));
    return history.runs.flatMap(run => {
      const request = known.get(run.requestId);
      if (request === undefined) return [];
      const {arrivedAtMs, endpoint} = run;
      const dataCentre = history.endpointDataCentres.get(endpoint);
      const isEvacuated = history.evacuations.some(
        each =>
          each.dataCentre === dataCentre &&
          arrivedAtMs > each.fromMs + history.bounds.configurationMs &&
          arrivedAtMs < each.toMs,
      );
      const isBound = history.hadStoreContact(request.instance, arrivedAtMs);
      return isEvacuated && isBound
        ? [this.foundFor(request, `reached ${endpoint} in ${dataCentre}`)]
        : [];
    });
  }
}

/** A new configuration takes effect in time where the store can be reached. */
export class TimelyConfiguration extends Check {
  readonly name = 'timely_configuration';

  find(history: History): readonly Finding[] {
    return history.requests.flatMap(request => {
      const addedAtMs = history.markers.get(request.marker ?? -1);
      if (addedAtMs === undefined || !isRouteUnknown(request)) return [];
      const {sentAtMs, instance} = request;
      const isBound =
        sentAtMs > addedAtMs + history.bounds.configurationMs &&
        history.hadStoreContact(instance, sentAtMs);
      return isBound ? [this.foundFor(request, 'marker not yet known')] : [];
    });
  }
}

/** An older version may still show this long after a newer was first seen. */
const ROLLBACK_SLACK_MS = 250;

/** Within one process the configuration never returns to an older version. */
export class RisingConfiguration extends Check {
  readonly name = 'rising_configuration';

  find(history: History): readonly Finding[] {
    const firstSeenMs = new Map<string, number>();
    for (const request of history.requests) {
      const {marker, outcome, endedAtMs = Infinity} = request;
      if (marker === undefined || outcome?.kind !== 'answered') continue;
      if (outcome.status !== 200) continue;
      const key = keyOf(request, marker);
      const before = firstSeenMs.get(key) ?? Infinity;
      firstSeenMs.set(key, Math.min(before, endedAtMs));
    }
    return history.requests.flatMap(request => {
      if (request.marker === undefined || !isRouteUnknown(request)) return [];
      const seenMs = firstSeenMs.get(keyOf(request, request.marker));
      if (seenMs === undefined) return [];
      const hasRolledBack = request.sentAtMs > seenMs + ROLLBACK_SLACK_MS;
      return hasRolledBack
        ? [this.foundFor(request, 'marker no longer known')]
        : [];
    });
  }
}

function isRouteUnknown({outcome}: SentRequest): boolean {
  return outcome?.kind === 'answered' && outcome.status === NOT_FOUND_STATUS;
}

function keyOf({instance, processNumber}: SentRequest, marker: number): string {
  return `${instance} ${processNumber} ${marker}`;
}
