/** Generates arrivals of requests for the simulation of a cell. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {RandomSource} from '../random_source.js';

const MS_PER_SECOND = 1000;

/** A client account's traffic in one class. */
export interface TrafficSource {
  readonly account: string;
  readonly requestClass: RequestClass;
  readonly perSecond: number;
  readonly meanPromptTokens: number;
  readonly meanOutputTokens: number;
  /** Number of prefixes that prompts share; none is shared if absent. */
  readonly sharedPrefixes?: number;
  /** Multiplies the rate between two points in time; no burst if absent. */
  readonly burst?: {
    readonly factor: number;
    readonly fromMs: number;
    readonly untilMs: number;
  };
}

/** A request of the workload. */
export interface Arrival {
  readonly atMs: number;
  readonly source: TrafficSource;
  readonly prefixHash?: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/**
 * Generates Poisson arrivals in an open loop: they do not wait for answers.
 * Lengths are exponentially distributed, so that the length of a request can't
 * be known beforehand.
 */
export function generateArrivals(
  sources: readonly TrafficSource[],
  durationMs: number,
  random: RandomSource,
): Arrival[] {
  const arrivals = sources.flatMap(source =>
    generateSource(source, durationMs, random),
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function generateSource(
  source: TrafficSource,
  durationMs: number,
  random: RandomSource,
): Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += exponential(MS_PER_SECOND / rateAt(source, atMs), random);
    if (atMs >= durationMs) return arrivals;
    const promptTokens = length(source.meanPromptTokens, random);
    const outputTokens = length(source.meanOutputTokens, random);
    const prefixHash = choosePrefix(source, random);
    arrivals.push({atMs, source, prefixHash, promptTokens, outputTokens});
  }
}

function choosePrefix(
  {sharedPrefixes}: TrafficSource,
  random: RandomSource,
): string | undefined {
  if (sharedPrefixes === undefined) return undefined;
  return `prefix-${Math.floor(random() * sharedPrefixes)}`;
}

function rateAt({burst, perSecond}: TrafficSource, atMs: number): number {
  const bursting =
    burst !== undefined && atMs >= burst.fromMs && atMs < burst.untilMs;
  return bursting ? perSecond * burst.factor : perSecond;
}

function exponential(mean: number, random: RandomSource): number {
  return -Math.log(1 - random()) * mean;
}

function length(mean: number, random: RandomSource): number {
  return Math.max(1, Math.round(exponential(mean, random)));
}
