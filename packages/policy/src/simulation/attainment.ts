/** Results of a simulated workload: attainment, goodput, fairness. */

import type {Arrival} from './workload.js';

const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1000;

/** How one request ended. */
export interface RequestResult {
  readonly arrival: Arrival;
  readonly outcome: 'served' | 'refused' | 'unfinished';
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  readonly totalMs?: number;
  readonly producedTokens: number;
}

/** Attainment of one class or one client account. */
export interface GroupResult {
  readonly name: string;
  readonly offered: number;
  readonly served: number;
  readonly refused: number;
  /** Share of the offered requests that met all targets. */
  readonly attainment: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  /**
   * Fewest requests served of those that arrived in any window of ten seconds.
   */
  readonly fewestServedIn10s: number;
}

/** All figures of one run. */
export interface SimulationResult {
  readonly classes: readonly GroupResult[];
  /** Client accounts of the watched class. */
  readonly accounts: readonly GroupResult[];
  /** Output tokens a second of requests that met all targets. */
  readonly goodputPerSecond: number;
  readonly worstAttainment: number;
  /** Attainment of the worst account over that of the median one. */
  readonly worstOverMedian: number;
  /**
   * Share of the produced tokens that belong to requests that missed a target.
   */
  readonly missedTokenShare: number;
}

/** Whether a request was served within its token targets and its deadline. */
export function meetsTargets(result: RequestResult): boolean {
  const {requestClass} = result.arrival.source;
  if (result.outcome !== 'served') return false;
  return (
    result.firstTokenMs! <= requestClass.firstTokenTargetMs &&
    (result.betweenTokensMs ?? 0) <= requestClass.betweenTokensTargetMs &&
    result.totalMs! <= requestClass.deadlineMs
  );
}

/** Selects the client accounts whose fairness is measured. */
export interface WatchedAccounts {
  readonly requestClass: string;
  /** An account that is left out, such as the one that floods the class. */
  readonly except?: string;
}

/** Summarises the results of a run. */
export function summarise(
  results: readonly RequestResult[],
  durationMs: number,
  watched: WatchedAccounts,
): SimulationResult {
  const classes = groupBy(results, ({requestClass}) => requestClass.id);
  const accounts = groupBy(
    results.filter(({arrival}) => isWatched(arrival, watched)),
    ({account}) => account,
  );
  const attained = accounts.map(({attainment}) => attainment);
  attained.sort((a, b) => a - b);
  const median = attained[Math.floor(attained.length / 2)];
  const met = sumTokens(results.filter(meetsTargets));
  const produced = sumTokens(results);
  return {
    classes,
    accounts,
    goodputPerSecond: (met / durationMs) * MS_PER_SECOND,
    worstAttainment: attained[0],
    worstOverMedian: median === 0 ? 1 : attained[0] / median,
    missedTokenShare: produced === 0 ? 0 : 1 - met / produced,
  };
}

function isWatched({source}: Arrival, watched: WatchedAccounts): boolean {
  if (source.requestClass.id !== watched.requestClass) return false;
  return source.account !== watched.except;
}

function groupBy(
  results: readonly RequestResult[],
  keyOf: (source: Arrival['source']) => string,
): GroupResult[] {
  const groups = new Map<string, RequestResult[]>();
  for (const result of results) {
    const key = keyOf(result.arrival.source);
    const group = groups.get(key) ?? [];
    group.push(result);
    groups.set(key, group);
  }
  const names = [...groups.keys()].sort();
  return names.map(name => describeGroup(name, groups.get(name)!));
}

function describeGroup(
  name: string,
  results: readonly RequestResult[],
): GroupResult {
  const served = results.filter(({outcome}) => outcome === 'served');
  const firstTokens = served.map(({firstTokenMs}) => firstTokenMs!);
  firstTokens.sort((a, b) => a - b);
  return {
    name,
    offered: results.length,
    served: served.length,
    refused: results.filter(({outcome}) => outcome === 'refused').length,
    attainment: results.filter(meetsTargets).length / results.length,
    firstTokenP50Ms: quantile(firstTokens, 0.5),
    firstTokenP99Ms: quantile(firstTokens, 0.99),
    fewestServedIn10s: fewestInWindow(results),
  };
}

function fewestInWindow(results: readonly RequestResult[]): number {
  const windows = new Map<number, number>();
  for (const {arrival, outcome} of results) {
    const window = Math.floor(arrival.atMs / WINDOW_MS);
    const served = outcome === 'served' ? 1 : 0;
    windows.set(window, (windows.get(window) ?? 0) + served);
  }
  return Math.min(...windows.values());
}

function sumTokens(results: readonly RequestResult[]): number {
  return results.reduce((sum, {producedTokens}) => sum + producedTokens, 0);
}

function quantile(sorted: readonly number[], part: number): number {
  if (sorted.length === 0) return NaN;
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))];
}
