/** Estimates how many events a stream still has. */

import type {ServiceId} from '@snipestage/types/ids.js';

/** What is known of the length of a stream. */
export interface StreamLength {
  /** Events so far. */
  readonly events: number;
  /** The caller's estimate; accurate at the median, often far off. */
  readonly expectedOutputTokens: number | undefined;
  readonly maxOutputTokens: number;
}

/** Streams without an estimate are taken to end halfway to their limit. */
const LENGTH_OF_MAX = 0.5;
/**
 * A stream that has gone beyond its estimate is taken to go on for this share
 * of its length so far.
 */
const OVERRUN_SHARE = 0.25;

/**
 * Events that a stream is expected to have left, at most up to its limit.
 *
 * @example
 * const leftMs = paceMs * expectEventsLeft(stream, tokensPerEvent);
 */
export function expectEventsLeft(
  {events, expectedOutputTokens, maxOutputTokens}: StreamLength,
  tokensPerEvent: number,
): number {
  const maxEvents = maxOutputTokens / tokensPerEvent;
  const expected =
    expectedOutputTokens === undefined
      ? LENGTH_OF_MAX * maxEvents
      : expectedOutputTokens / tokensPerEvent;
  const left = Math.max(expected - events, OVERRUN_SHARE * events);
  return Math.max(0, Math.min(left, maxEvents - events));
}

/** Between the 3 and 5 of the deployments that `load-controls.md` describes. */
const DEFAULT_TOKENS_PER_EVENT = 4;
const WEIGHT = 0.05;
/** With fewer streams, single estimates that are far off would dominate. */
const MIN_SAMPLES = 10;

interface Ratio {
  samples: number;
  meanLog: number;
}

/** Learns from complete streams how many tokens an event stands for. */
export class TokensPerEvent {
  private readonly byService = new Map<ServiceId, Ratio>();

  /**
   * A stream has ended; those without an estimate say nothing.
   *
   * @example
   * tokensPerEvent.note(service, {events: 24, ...prompt});
   */
  note(service: ServiceId, {events, expectedOutputTokens}: StreamLength): void {
    if (events === 0 || !(Number(expectedOutputTokens) > 0)) return;
    const log = Math.log(Number(expectedOutputTokens) / events);
    const ratio = this.byService.get(service) ?? {samples: 0, meanLog: log};
    ratio.samples += 1;
    const weight = Math.max(WEIGHT, 1 / ratio.samples);
    ratio.meanLog += weight * (log - ratio.meanLog);
    this.byService.set(service, ratio);
  }

  of(service: ServiceId): number {
    const ratio = this.byService.get(service);
    const isKnown = ratio !== undefined && ratio.samples >= MIN_SAMPLES;
    return isKnown ? Math.exp(ratio.meanLog) : DEFAULT_TOKENS_PER_EVENT;
  }
}
