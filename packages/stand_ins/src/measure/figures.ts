/** Computes a run's figures from its outcomes and the stand-ins' counters. */

import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import type {EngineTotals} from './engine_totals.js';
import type {Outcome, ServiceOutcome} from './load.js';
import type {Scenario, ScenarioClass} from './scenario.js';
import type {UsageCheck} from './usage_check.js';

/**
 * Shares of the requests of a class, phase or account that met the targets of
 * their class, 0 to 1.
 */
export interface Attainment {
  readonly requests: number;
  /** Met all targets, with a complete answer. */
  readonly all: number;
  readonly firstToken: number;
  readonly betweenTokens: number;
  readonly deadline: number;
}

/** Figures of one class, without poison requests. */
export interface ClassFigures extends Attainment {
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly byPhase: Readonly<Record<string, Attainment>>;
}

/** Figures of a run. */
export interface RunFigures {
  readonly classes: Readonly<Record<string, ClassFigures>>;
  /** Requests per second that met all targets. */
  readonly goodputPerSecond: number;
  /** Tokens of cancelled or abandoned requests, over all tokens produced. */
  readonly wastedShare: number;
  /** Tokens of requests that a crash ended, over all tokens produced. */
  readonly crashLostShare: number;
  /**
   * Attainment of the worst-served account over the median account's; accounts
   * that flood are excluded.
   */
  readonly worstAccountOverMedian: number;
  /**
   * Fewest complete answers of the class with the highest tier number in any
   * 10 s of the run that begin at a full second.
   */
  readonly lowestClassLeastPer10S: number;
  readonly endpointSpend: number;
  /** Tokens produced on cheap endpoints, over all tokens produced. */
  readonly cheapShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly failures: Readonly<Record<string, number>>;
  /** Answers with text that does not belong to the answer to their request. */
  readonly wrongAnswers: number;
  /** Refusals with the verdict `not_run` of requests that an engine has run. */
  readonly untrueNotRun: number;
  readonly crashes: number;
  readonly service: ServiceFigures;
  readonly usage: UsageCheck;
}

/** Figures of the plain service's calls. */
export interface ServiceFigures {
  readonly calls: number;
  /** Calls answered 201. */
  readonly ok: number;
  /** Records beyond the first of each call. */
  readonly doubled: number;
  /** Calls answered 201 of which there is no record. */
  readonly lost: number;
}

/** What the figures of a run are computed from. */
export interface RunRecord {
  readonly scenario: Scenario;
  readonly outcomes: readonly Outcome[];
  readonly serviceOutcomes: readonly ServiceOutcome[];
  /** Content of each record stored by the services. */
  readonly serviceRecords: ReadonlyArray<{readonly call: string}>;
  readonly engines: EngineTotals;
  readonly usage: UsageCheck;
}

const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1000;
const MAX_TRACKED_LATENCY_MS = 600_000;
const HTTP_CREATED = 201;

/**
 * Computes the figures of a run.
 *
 * @example
 * const figures = assembleFigures(record);
 */
export function assembleFigures(record: RunRecord): RunFigures {
  const {engines, outcomes, scenario} = record;
  const good = outcomes.filter(outcome => meetsAll(scenario, outcome));
  const tokens = Math.max(1, engines.tokensProduced);
  return {
    classes: classFigures(scenario, outcomes),
    goodputPerSecond: good.length / (scenario.durationMs / MS_PER_SECOND),
    wastedShare: engines.wastedTokens / tokens,
    crashLostShare: engines.tokensLostInCrashes / tokens,
    worstAccountOverMedian: worstAttainmentOverMedian(scenario, outcomes),
    lowestClassLeastPer10S: leastPerWindow(scenario, outcomes),
    endpointSpend: engines.spend,
    cheapShare: engines.cheapTokens / tokens,
    refusals: countBy(outcomes, ({refusal}) => refusal),
    failures: countBy(outcomes, ({failure}) => failure),
    wrongAnswers: outcomes.filter(({isWrong}) => isWrong).length,
    untrueNotRun: countUntrueNotRun(outcomes, engines.requestIds),
    crashes: engines.crashes,
    service: serviceFigures(record),
    usage: record.usage,
  };
}

/** Whether a request met every target of its class. */
export function meetsAll(scenario: Scenario, outcome: Outcome): boolean {
  const target = scenario.classes[outcome.arrival.requestClass];
  return (
    outcome.isComplete &&
    meetsFirstToken(target, outcome) &&
    meetsBetweenTokens(target, outcome) &&
    outcome.totalMs <= target.deadlineMs
  );
}

/** The median; 0 when there are no values. */
export function medianOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  const half = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[half];
  return (sorted[half - 1] + sorted[half]) / 2;
}

function meetsFirstToken(target: ScenarioClass, outcome: Outcome): boolean {
  const {firstTokenMs} = outcome;
  return (
    firstTokenMs !== undefined && firstTokenMs <= target.firstTokenTargetMs
  );
}

function meetsBetweenTokens(target: ScenarioClass, outcome: Outcome): boolean {
  const {betweenTokensMs, isComplete} = outcome;
  return isComplete && (betweenTokensMs ?? 0) <= target.betweenTokensTargetMs;
}

function classFigures(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): Record<string, ClassFigures> {
  const figures: Record<string, ClassFigures> = {};
  for (const requestClass of Object.keys(scenario.classes)) {
    const own = withoutPoison(outcomes).filter(
      ({arrival}) => arrival.requestClass === requestClass,
    );
    if (own.length === 0) continue;
    const latencies = histogramOf(own);
    figures[requestClass] = {
      ...attainmentOf(scenario, own),
      firstTokenP50Ms: latencies.getValueAtPercentile(50),
      firstTokenP99Ms: latencies.getValueAtPercentile(99),
      byPhase: phaseFigures(scenario, own),
    };
  }
  return figures;
}

/** Excludes poison requests, since refusing them is correct. */
function withoutPoison(outcomes: readonly Outcome[]): Outcome[] {
  return outcomes.filter(({arrival}) => !arrival.isPoison);
}

function phaseFigures(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): Record<string, Attainment> {
  return Object.fromEntries(
    (scenario.phases ?? []).map(({fromMs, name, toMs}) => {
      const within = outcomes.filter(
        ({arrival}) => fromMs <= arrival.atMs && arrival.atMs < toMs,
      );
      return [name, attainmentOf(scenario, within)];
    }),
  );
}

function attainmentOf(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): Attainment {
  const share = (meets: (target: ScenarioClass, o: Outcome) => boolean) =>
    outcomes.filter(outcome =>
      meets(scenario.classes[outcome.arrival.requestClass], outcome),
    ).length / Math.max(1, outcomes.length);
  return {
    requests: outcomes.length,
    all: share((_target, outcome) => meetsAll(scenario, outcome)),
    firstToken: share(meetsFirstToken),
    betweenTokens: share(meetsBetweenTokens),
    deadline: share(
      ({deadlineMs}, {isComplete, totalMs}) =>
        isComplete && totalMs <= deadlineMs,
    ),
  };
}

function histogramOf(outcomes: readonly Outcome[]): Histogram {
  const histogram = buildHistogram({
    highestTrackableValue: MAX_TRACKED_LATENCY_MS,
  });
  for (const {firstTokenMs} of outcomes) {
    if (firstTokenMs === undefined) continue;
    histogram.recordValue(Math.max(0, Math.round(firstTokenMs)));
  }
  return histogram;
}

function worstAttainmentOverMedian(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): number {
  const flooding = floodingAccounts(scenario);
  const accounts = new Set(
    outcomes
      .map(({arrival}) => arrival.account)
      .filter(account => !flooding.has(account)),
  );
  const shares = [...accounts].map(account => {
    const own = outcomes.filter(({arrival}) => arrival.account === account);
    return attainmentOf(scenario, withoutPoison(own)).all;
  });
  const median = medianOf(shares);
  return median === 0 ? 0 : Math.min(...shares) / median;
}

/**
 * Accounts with a rate change of their own. They cause their low attainment
 * themselves, so that only the other accounts are compared.
 */
function floodingAccounts(scenario: Scenario): Set<string | undefined> {
  const changes = scenario.streams.flatMap(stream => stream.rateChanges ?? []);
  return new Set(changes.map(({account}) => account));
}

function leastPerWindow(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): number {
  const lowest = lowestClassOf(scenario);
  const endsMs = outcomes
    .filter(
      ({arrival, isComplete}) => isComplete && arrival.requestClass === lowest,
    )
    .map(({arrival, totalMs}) => arrival.atMs + totalMs);
  let least = Infinity;
  const lastStartMs = scenario.durationMs - WINDOW_MS;
  for (let fromMs = 0; fromMs <= lastStartMs; fromMs += MS_PER_SECOND) {
    const within = endsMs.filter(
      endMs => fromMs <= endMs && endMs < fromMs + WINDOW_MS,
    );
    least = Math.min(least, within.length);
  }
  return least;
}

function lowestClassOf(scenario: Scenario): string {
  const classes = Object.entries(scenario.classes);
  return classes.reduce((lowest, other) =>
    other[1].tier > lowest[1].tier ? other : lowest,
  )[0];
}

function countUntrueNotRun(
  outcomes: readonly Outcome[],
  ranRequestIds: ReadonlySet<string>,
): number {
  return outcomes.filter(
    ({requestId, verdict}) =>
      verdict === 'not_run' && ranRequestIds.has(requestId ?? ''),
  ).length;
}

function serviceFigures(record: RunRecord): ServiceFigures {
  const {serviceOutcomes, serviceRecords} = record;
  const recordedCalls = serviceRecords.map(({call}) => call);
  const ok = serviceOutcomes.filter(({status}) => status === HTTP_CREATED);
  return {
    calls: serviceOutcomes.length,
    ok: ok.length,
    doubled: recordedCalls.length - new Set(recordedCalls).size,
    lost: ok.filter(({arrival}) => !recordedCalls.includes(arrival.key)).length,
  };
}

function countBy(
  outcomes: readonly Outcome[],
  nameOf: (outcome: Outcome) => string | undefined,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const outcome of outcomes) {
    const name = nameOf(outcome);
    if (name !== undefined) counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
