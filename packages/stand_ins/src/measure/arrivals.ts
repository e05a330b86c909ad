/** When which request is to be sent, worked out before the run. */

import {meanMark} from '../engine/output_length.js';
import {DEFAULT_POISON_MARK} from '../engine/sequence_factory.js';
import {exponential, seededRandom, type RandomSource} from '../random.js';
import type {
  AccountShare,
  RateChange,
  RequestStream,
  Scenario,
} from './scenario.js';

/** One request of a model, to be sent at an instant of the run. */
export interface Arrival {
  readonly atMs: number;
  readonly requestClass: string;
  readonly account: string;
  readonly prompt: string;
  readonly meanOutputTokens: number;
  readonly isPoison: boolean;
}

/** One call of the plain service. */
export interface ServiceArrival {
  readonly atMs: number;
  readonly account: string;
  readonly key: string;
}

const MS_PER_SECOND = 1000;
const MANUALS_PER_ACCOUNT = 6;
const QUESTION_WORDS = 12;

/**
 * All requests of a scenario in order of time: Poisson arrivals, thinned to
 * the rate of each instant.
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
 * The calls of the plain service, each with an idempotency key of its own.
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

interface Draw {
  readonly atMs: number;
  readonly account: string;
  readonly number: number;
  readonly random: RandomSource;
}

function makeArrival(stream: RequestStream, draw: Draw): Arrival {
  const {account, atMs, number, random} = draw;
  const {requestClass, meanOutputTokens} = stream;
  const isPoison = stream.isPoison ?? false;
  const manual = isPoison ? 0 : Math.floor(random() * MANUALS_PER_ACCOUNT);
  const shared = words(`${account}-m${manual}`, stream.sharedWords);
  const asked = isPoison ? 'poison' : `q${number}`;
  const question = words(`${requestClass}-${asked}`, QUESTION_WORDS);
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

function words(name: string, count: number): string {
  return Array.from({length: count}, (_, at) => `${name}w${at}`).join(' ');
}
