/** Wire format of load readings between instances. */

import type {LoadReading} from '@snipestage/routing/load_view.js';
import type {RouteId} from '@snipestage/routing/route.js';
import type {DemandIncrement} from '@snipestage/routing/shared_demand.js';
import {
  brandAs,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';

/**
 * Endpoint, running, waiting, capacity, the reading's age in ms, and the
 * requests per second that the endpoint accepts, if it has a rate limit.
 */
export type LoadLine = readonly [
  string,
  number,
  number,
  number,
  number,
  number?,
];

/** Service, route, requests, work and prompt tokens. */
export type DemandLine = readonly [string, string, number, number, number];

/** Readings that are new to the receiver. */
export interface LoadReport {
  readonly kind: 'loads';
  readonly lines: readonly LoadLine[];
  /**
   * The store's clock when the report was made, or less; undefined: not known.
   * A report may be under way for long.
   */
  readonly storeMs?: number;
  /** Requests that arrived since the report before; older versions lack them. */
  readonly demands?: readonly DemandLine[];
  /** Whether a relay passes it on soon, without waiting for its turn (false). */
  readonly isUrgent?: boolean;
}

/** Lines in a report; longer reports are rejected. */
const MAX_LINES = 1000;
/** More requests of a route than this in one report are malformed. */
const MAX_REQUESTS = 1e6;

/**
 * @param storeMs the store's clock, or less; undefined: not known.
 * @example
 * stream.write(toLoadReport(readings, nowMs, timeline.storeClockAt(nowMs)));
 */
export function toLoadReport(
  readings: readonly LoadReading[],
  nowMs: number,
  storeMs?: number,
): LoadReport {
  const newest = readings
    .toSorted((one, other) => other.atMs - one.atMs)
    .slice(0, MAX_LINES);
  const lines = newest.map(
    ({endpoint, load, rateLimitPerS, atMs}): LoadLine => {
      const {running, waiting, capacity} = load;
      const ageMs = Math.round(nowMs - atMs);
      return rateLimitPerS === undefined
        ? [endpoint, running, waiting, capacity, ageMs]
        : [endpoint, running, waiting, capacity, ageMs, rateLimitPerS];
    },
  );
  return {kind: 'loads', storeMs, lines};
}

/** Result of {@link readLoadReport}. */
export interface ReadLoads {
  readonly readings: readonly LoadReading[];
  /** Number of malformed lines; 1 for a report that is rejected as a whole. */
  readonly malformed: number;
}

/**
 * Validates and reads a report of another process.
 *
 * @param madeAtMs when the report was made.
 * @example
 * const {readings, malformed} = readLoadReport(message, madeAtMs);
 */
export function readLoadReport(message: unknown, madeAtMs: number): ReadLoads {
  const lines = (message as Partial<LoadReport> | undefined)?.lines;
  if (!Array.isArray(lines) || lines.length > MAX_LINES) {
    return {readings: [], malformed: 1};
  }
  const readings = lines
    .filter(isLoadLine)
    .map(line => toReading(line, madeAtMs));
  return {readings, malformed: lines.length - readings.length};
}

function toReading(line: LoadLine, madeAtMs: number): LoadReading {
  const [endpoint, running, waiting, capacity, ageMs, rateLimitPerS] = line;
  return {
    endpoint: brandAs<EndpointId>(endpoint),
    load: {running, waiting, capacity},
    ...(rateLimitPerS === undefined ? {} : {rateLimitPerS}),
    atMs: madeAtMs - ageMs,
  };
}

function isLoadLine(line: unknown): line is LoadLine {
  if (!Array.isArray(line) || line.length < 5 || line.length > 6) return false;
  const [endpoint, running, waiting, capacity, ageMs, rateLimitPerS = 0] =
    line as unknown[];
  const counts = [running, waiting, capacity];
  const areCounts = counts.every(
    count => Number.isInteger(count) && (count as number) >= 0,
  );
  const isLimit =
    Number.isFinite(rateLimitPerS) && (rateLimitPerS as number) >= 0;
  return (
    typeof endpoint === 'string' &&
    areCounts &&
    Number.isFinite(ageMs) &&
    isLimit
  );
}

/**
 * @example
 * const report = {...toLoadReport(readings, nowMs), demands: toDemandLines(sums)};
 */
export function toDemandLines(
  increments: readonly DemandIncrement[],
): readonly DemandLine[] | undefined {
  if (increments.length === 0) return undefined;
  return increments
    .slice(0, MAX_LINES)
    .map(({service, route, requests, work, promptTokens}) => [
      service,
      route,
      requests,
      Math.round(work),
      Math.round(promptTokens),
    ]);
}

/**
 * Validates and reads the demand in a report of another process.
 *
 * @example
 * demand.addReported(readDemandLines(report), nowMs);
 */
export function readDemandLines(message: unknown): readonly DemandIncrement[] {
  const lines = (message as Partial<LoadReport> | undefined)?.demands;
  if (!Array.isArray(lines) || lines.length > MAX_LINES) return [];
  return lines
    .filter(isDemandLine)
    .map(([service, route, requests, work, promptTokens]) => ({
      service: brandAs<ServiceId>(service),
      route: brandAs<RouteId>(route),
      requests,
      work,
      promptTokens,
    }));
}

function isDemandLine(line: unknown): line is DemandLine {
  if (!Array.isArray(line) || line.length !== 5) return false;
  const [service, route, requests, ...sums] = line as unknown[];
  const areSums = [requests, ...sums].every(
    sum => Number.isFinite(sum) && (sum as number) >= 0,
  );
  return (
    typeof service === 'string' &&
    typeof route === 'string' &&
    areSums &&
    (requests as number) <= MAX_REQUESTS
  );
}
