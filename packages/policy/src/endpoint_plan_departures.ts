/** Schedules data centres to leave one after another, before their dates. */

import type {DataCentreId} from '@snipestage/types/ids.js';
import type {
  ObservedEndpoint,
  PlannedDataCentre,
  PlanOptions,
} from './endpoint_plan_input.js';

/** A data centre with a leaving date. */
export interface ScheduledDeparture {
  readonly dataCentre: DataCentreId;
  /** When its replacements are first ordered. */
  readonly beginEpochMs: number;
  /** When it drains even without replacements, so as to be idle by its date. */
  readonly drainByEpochMs: number;
}

/**
 * Works backwards from the leaving dates, so that each move has the time it
 * needs and data centres with the same date do not move at once: a fault in the
 * first move then shows while the others still serve.
 *
 * @example
 * scheduleDepartures(dataCentres, DEFAULT_PLAN_OPTIONS);
 */
export function scheduleDepartures(
  dataCentres: readonly PlannedDataCentre[],
  options: PlanOptions,
): ScheduledDeparture[] {
  const moveMs = options.replaceMs + options.drainMs;
  const leaving = dataCentres
    .flatMap(({id, leaveByEpochMs}) =>
      leaveByEpochMs === undefined ? [] : [{id, leaveByEpochMs}],
    )
    .sort(
      (left, right) =>
        right.leaveByEpochMs - left.leaveByEpochMs ||
        right.id.localeCompare(left.id),
    );
  let nextBeginEpochMs = Infinity;
  const latestFirst = leaving.map(({id, leaveByEpochMs}) => {
    const endEpochMs = Math.min(leaveByEpochMs, nextBeginEpochMs);
    nextBeginEpochMs = endEpochMs - moveMs;
    return {
      dataCentre: id,
      beginEpochMs: nextBeginEpochMs,
      drainByEpochMs: leaveByEpochMs - options.drainMs,
    };
  });
  return latestFirst.reverse();
}

/**
 * Departures that have begun. One whose start time has come waits until the
 * previous data centre has left, but only as long as the time until its date is
 * enough for its own move.
 *
 * @example
 * const begun = findDepartures(schedule, endpoints, nowEpochMs, options);
 */
export function findDepartures(
  schedule: readonly ScheduledDeparture[],
  endpoints: readonly ObservedEndpoint[],
  nowEpochMs: number,
  options: PlanOptions,
): ScheduledDeparture[] {
  const begun: ScheduledDeparture[] = [];
  for (const departure of schedule) {
    const previous = begun.at(-1);
    const isTurn =
      previous === undefined || hasLeft(previous.dataCentre, endpoints);
    const latestEpochMs = departure.drainByEpochMs - options.replaceMs;
    const isUrgent = nowEpochMs >= latestEpochMs;
    const isTime = nowEpochMs >= departure.beginEpochMs;
    if (!isUrgent && !(isTime && isTurn)) break;
    begun.push(departure);
  }
  return begun;
}

/**
 * Whether the data centre has no endpoints left.
 *
 * @example
 * if (hasLeft(dataCentre, endpoints)) return 'left';
 */
export function hasLeft(
  dataCentre: DataCentreId,
  endpoints: readonly ObservedEndpoint[],
): boolean {
  return !endpoints.some(endpoint => endpoint.dataCentre === dataCentre);
}
