/** Computes the schedule of a run's requests before the run starts. */

import {meanMark} from '../engine/output_length.js';
import {DEFAULT_POISON_MARK} from '../engine/sequence_factory.js';
import {exponential, seededRandom, type RandomSource} from '../random.js';
import type {
  AccountShare,
  RateChange,
  RequestStream,
  Scenario,
} from './scenario.js';

/** One model request and the instant of the run at which to send it. */
export interface Arrival {
  readonly atMs: number;
  readonly requestClass: string;
  readonly account: string;
  readonly prompt: string;
  readonly meanOutputTokens: number;
  readonly isPoison: boolean;
}

/** One call of the plain service and the instant at which to make it. */
export interface ServiceArrival {
  readonly atMs: number;
  readonly account: string;
  readonly key: string;
}

const MS_PER_SECOND = 1000;
const PREFIXES_PER_ACCOUNT = 6;
const QUESTION_WORD_COUNT = 12;

/**
 * Returns all model requests of a scenario, sorted by time: for each stream,
 * Poisson arrivals at its highest rate, thinned to the rate of each instant.
 *
 * @example
 * const arrivals = assembleArrivals(scenario);
 */
export function assembleArrivals(scenario: Scenario): Arrival[] {
  return scenario.streams
    .flatMap((stream, at) =>
      arrivalsOf(stream, scenario.durationMs, scenario.seed + at),
    )
    .sort((left, right) => left.atMs - right.atMs);
}

/**
 * Returns the calls of the plain service, each with its own idempotency key.
 *
 * @example
 * const bookings = assembleServiceArrivals(scenario);
 */
export function assembleServiceArrivals(scenario: Scenario): ServiceArrival[] {
  const {service, seed, durationMs} = scenario;
  if (service === undefined) return [];
  const random = seededRandom(-seed);
  const meanGapMs = MS_PER_SECOND / service.ratePerSecond;
  const arrivals: ServiceArrival[] = [];
  let atMs = exponential(random, meanGapMs);
  while (atMs < durationMs) {
    const key = `call-${arrivals.length + 1}`;
    arrivals.push({atMs, account: service.account, key});
    atMs += exponential(random, meanGapMs);
  }
  return arrivals;
}

function arrivalsOf(
  stream: RequestStream,
  durationMs: number,
  seed: number,
): Arrival[] {
  const random = seededRandom(seed);
  const changes = stream.rateChanges ?? [];
  const highestFactor = Math.max(1, ...changes.map(({factor}) => factor));
  const meanGapMs = MS_PER_SECOND / (stream.ratePerSecond * highestFactor);
  const arrivals: Arrival[] = [];
  let atMs = exponential(random, meanGapMs);
  while (atMs < durationMs) {
    const account = pickAccount(stream.accounts, random);
    const factor = factorAt(changes, atMs, account);
    const isKept = random() * highestFactor < factor;
    if (isKept) {
      const number = arrivals.length + 1;
      arrivals.push(makeArrival(stream, {atMs, account, number, random}));
    }
    atMs += exponential(random, meanGapMs);
  }
  return arrivals;
}

interface ArrivalOptions {
  readonly atMs: number;
  readonly account: string;
  readonly number: number;
  readonly random: RandomSource;
}

function makeArrival(stream: RequestStream, options: ArrivalOptions): Arrival {
  const {account, atMs, number, random} = options;
  const {requestClass, meanOutputTokens} = stream;
  const isPoison = stream.isPoison ?? false;
  const prefixNumber = isPoison
    ? 0
    : Math.floor(random() * PREFIXES_PER_ACCOUNT);
  const shared = makeWords(`${account}-m${prefixNumber}`, stream.sharedWords);
  const questionId = isPoison ? 'poison' : `q${number}`;
  const question = makeWords(
    `${requestClass}-${questionId}`,
    QUESTION_WORD_COUNT,
  );
  const marks = [meanMark(meanOutputTokens)];
  if (isPoison) marks.push(DEFAULT_POISON_MARK);
  const prompt = `${shared} ${question} ${marks.join(' ')}`;
  return {atMs, requestClass, account, prompt, meanOutputTokens, isPoison};
}

function factorAt(
  changes: readonly RateChange[],
  atMs: number,
  account: string,
): number {
  return changes
    .filter(change => change.fromMs <= atMs && atMs < change.toMs)
    .filter(change => (change.account ?? account) === account)
    .reduce((product, change) => product * change.factor, 1);
}

function pickAccount(
  shares: readonly AccountShare[],
  random: RandomSource,
): string {
  const total = shares.reduce((sum, {weight}) => sum + weight, 0);
  let left = random() * total;
  for (const {account, weight} of shares) {
    left -= weight;
    if (left < 0) return account;
  }
  return shares[shares.length - 1].account;
}

function makeWords(name: string, count: number): string {
  return Array.from({length: count}, (_, at) => `${name}w${at}`).join(' ');
}
