/** Wire format of the demand in reports between instances. */

import type {RouteId} from '@snipestage/routing/route.js';
import type {DemandIncrement} from '@snipestage/routing/shared_demand.js';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import type {DemandLine, LoadReport} from './load_report.js';

/** Lines in a report; the demand of longer ones is rejected. */
const MAX_LINES = 1000;
/** More requests of a route than this in one report are malformed. */
const MAX_REQUESTS = 1e6;

/**
 * @example
 * const report = {...loads, demands: toDemandLines(sums)};
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
