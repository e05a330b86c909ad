/** The figures of one run, from its outcomes and the stand-ins' counters. */

import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import type {EngineTotals} from './engine_totals.js';
import type {Outcome, ServiceOutcome} from './load.js';
import type {Scenario, ScenarioClass} from './scenario.js';
import type {UsageCheck} from './usage_check.js';

/** Shares of all requests of a class that met its targets, 0 to 1. */
export interface Attainment {
  readonly requests: number;
  /** All targets at once, with a whole answer. */
  readonly all: number;
  readonly firstToken: number;
  readonly betweenTokens: number;
  readonly deadline: number;
}

/** Figures of one class. */
export interface ClassFigures extends Attainment {
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly byPhase: Readonly<Record<string, Attainment>>;
}

/** Figures of a run. */
export interface RunFigures {
  readonly classes: Readonly<Record<string, ClassFigures>>;
  /** Requests a second that met all targets. */
  readonly goodputPerSecond: number;
  /** Tokens of requests given up, over all tokens produced. */
  readonly wastedShare: number;
  /** Tokens lost in crashes, over all tokens produced. */
  readonly crashLostShare: number;
  /**
   * Attainment of the worst-served account over the median account's, less
   * the one that floods.
   */
  readonly worstAccountOverMedian: number;
  /** Fewest whole answers of the lowest class in any 10 s of the run. */
  readonly lowestClassLeastPer10S: number;
  readonly endpointSpend: number;
  /** Tokens produced on cheap endpoints, over all tokens produced. */
  readonly cheapShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly failures: Readonly<Record<string, number>>;
  /** Answers that held something of another request. */
  readonly wrongAnswers: number;
  /** Refusals said to be not run, of requests that an engine has run. */
  readonly untrueNotRun: number;
  readonly crashes: number;
  readonly service: ServiceFigures;
  readonly usage: UsageCheck;
}

/** Figures of the plain service's calls. */
export interface ServiceFigures {
  readonly calls: number;
  readonly ok: number;
  /** Made more than once. */
  readonly doubled: number;
  /** Answered as made, and not there. */
  readonly lost: number;
}

/** What figures are worked out from. */
export interface RunRecord {
  readonly scenario: Scenario;
  readonly outcomes: readonly Outcome[];
  readonly serviceOutcomes: readonly ServiceOutcome[];
  /** Content of each record that the services hold. */
  readonly serviceRecords: ReadonlyArray<{readonly call: string}>;
  readonly engines: EngineTotals;
  readonly usage: UsageCheck;
}

const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1000;
const HIGHEST_LATENCY_MS = 600_000;
const HTTP_CREATED = 201;

/**
 * Works the figures out.
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
    worstAccountOverMedian: worstOverMedian(scenario, outcomes),
    lowestClassLeastPer10S: leastPerWindow(scenario, outcomes),
    endpointSpend: engines.spend,
    cheapShare: engines.cheapTokens / tokens,
    refusals: countBy(outcomes, ({refusal}) => refusal),
    failures: countBy(outcomes, ({failure}) => failure),
    wrongAnswers: outcomes.filter(({isWrong}) => isWrong).length,
    untrueNotRun: countUntrue(outcomes, engines.requestIds),
    crashes: engines.crashes,
    service: serviceFigures(record),
    usage: record.usage,
  };
}

/** Whether a request met every target of its class. */
export function meetsAll(scenario: Scenario, outcome: Outcome): boolean {
  const target = scenario.classes[outcome.arrival.requestClass];
  return (
    outcome.isWhole &&
    meetsFirstToken(target, outcome) &&
    meetsBetweenTokens(target, outcome) &&
    outcome.totalMs <= target.deadlineMs
  );
}

/** The middle of some numbers; 0 of none. */
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
  const {betweenTokensMs, isWhole} = outcome;
  return isWhole && (betweenTokensMs ?? 0) <= target.betweenTokensTargetMs;
}

function classFigures(
  scenario: Scenario,
  outcomes: readonly Outcome[],
): Record<string, ClassFigures> {
  const figures: Record<string, ClassFigures> = {};
  for (const requestClass of Object.keys(scenario.classes)) {
    const own = innocent(outcomes).filter(
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

/** A poison request that is refused is served as it should be. */
function innocent(outcomes: readonly Outcome[]): Outcome[] {
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
      ({deadlineMs}, {isWhole, totalMs}) => isWhole && totalMs <= deadlineMs,
    ),
  };
}

function histogramOf(outcomes: readonly Outcome[]): Histogram {
  const histogram = buildHistogram({
    highestTrackableValue: HIGHEST_LATENCY_MS,
  });
  for (const {firstTokenMs} of outcomes) {
    if (firstTokenMs === undefined) continue;
    histogram.recordValue(Math.max(0, Math.round(firstTokenMs)));
  }
  return histogram;
}

function worstOverMedian(
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
    return attainmentOf(scenario, innocent(own)).all;
  });
  const median = medianOf(shares);
  return median === 0 ? 0 : Math.min(...shares) / median;
}

/** Served worst by its own doing; the others are to be told. */
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
    .filter(({arrival, isWhole}) => isWhole && arrival.requestClass === lowest)
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

function countUntrue(
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
  const made = serviceRecords.map(({call}) => call);
  const ok = serviceOutcomes.filter(({status}) => status === HTTP_CREATED);
  return {
    calls: serviceOutcomes.length,
    ok: ok.length,
    doubled: made.length - new Set(made).size,
    lost: ok.filter(({arrival}) => !made.includes(arrival.key)).length,
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
