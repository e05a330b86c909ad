/** Wire format of load readings between instances. */

import type {LoadReading} from '@snipestage/routing/load_view.js';
import type {PaceSample} from '@snipestage/routing/pace_view.js';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';

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

/** Endpoint, pace in ms, and the sample's age in ms. */
export type PaceLine = readonly [string, number, number];

/** Readings that are new to the receiver. */
export interface LoadReport {
  readonly kind: 'loads';
  readonly lines: readonly LoadLine[];
  /**
   * Samples of endpoints' speeds (none). Only where load controls are on; older
   * versions neither send nor read them.
   */
  readonly paces?: readonly PaceLine[];
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

/** Lines or paces in a report; longer reports are rejected. */
const MAX_LINES = 1000;
/** Slower paces are no measurements. */
const MAX_PACE_MS = 60_000;

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

/**
 * Adds samples of paces to a report; one without any stays as it is.
 *
 * @example
 * stream.write(withPaces(report, samples, nowMs));
 */
export function withPaces(
  report: LoadReport,
  samples: readonly PaceSample[],
  nowMs: number,
): LoadReport {
  if (samples.length === 0) return report;
  const newest = samples
    .toSorted((one, other) => other.atMs - one.atMs)
    .slice(0, MAX_LINES);
  const paces = newest.map(({endpoint, paceMs, atMs}): PaceLine => {
    return [endpoint, paceMs, Math.round(nowMs - atMs)];
  });
  return {...report, paces};
}

/** Whether a report need not be sent to an instance. */
export function isEmptyReport(report: LoadReport): boolean {
  const {lines, paces = [], demands = []} = report;
  return lines.length + paces.length + demands.length === 0;
}

/** Result of {@link readPaces}. */
export interface ReadPaces {
  readonly samples: readonly PaceSample[];
  /** Number of malformed entries; 1 for a field that is rejected as a whole. */
  readonly malformed: number;
}

/**
 * Validates and reads the paces in a report of another process. Malformed ones
 * don't make its loads invalid.
 *
 * @param madeAtMs when the report was made.
 * @example
 * const {samples, malformed} = readPaces(message, madeAtMs);
 */
export function readPaces(message: unknown, madeAtMs: number): ReadPaces {
  const paces = (message as Partial<LoadReport> | undefined)?.paces;
  if (paces === undefined) return {samples: [], malformed: 0};
  if (!Array.isArray(paces) || paces.length > MAX_LINES) {
    return {samples: [], malformed: 1};
  }
  const samples = paces
    .filter(isPaceLine)
    .map(([endpoint, paceMs, ageMs]): PaceSample => {
      const id = brandAs<EndpointId>(endpoint);
      return {endpoint: id, paceMs, atMs: madeAtMs - ageMs};
    });
  return {samples, malformed: paces.length - samples.length};
}

function isPaceLine(line: unknown): line is PaceLine {
  if (!Array.isArray(line) || line.length !== 3) return false;
  const [endpoint, paceMs, ageMs] = line as unknown[];
  return (
    typeof endpoint === 'string' &&
    typeof paceMs === 'number' &&
    paceMs > 0 &&
    paceMs <= MAX_PACE_MS &&
    Number.isFinite(ageMs)
  );
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
