/** Exchanges samples of endpoints' speeds between instances. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {LoadOrigin} from './load_view.js';

/** How fast an endpoint was, as one answer has shown. */
export interface PaceSample {
  readonly endpoint: EndpointId;
  /**
   * Time per event of a stream, corrected for the endpoint's load, or duration
   * of a plain answer, corrected for the work time that the endpoint stated.
   */
  readonly paceMs: number;
  /** Time of the sample by this instance's clock. */
  readonly atMs: number;
}

/** Why a sample of another instance was dropped. */
export type PaceDrop = 'duplicate' | 'too_old' | 'from_the_future' | 'unknown';

/** Options of {@link PaceView}; defaults in brackets. */
export interface PaceViewOptions {
  readonly isKnown: (endpoint: EndpointId) => boolean;
  /** Receives the samples of other instances, each once. */
  readonly onReported: (sample: PaceSample) => void;
  /** Older samples are dropped (3,000 ms). */
  readonly maxAgeMs?: number;
}

/** Samples since a mark, and the mark for the next call. */
export interface PaceChanges {
  readonly samples: readonly PaceSample[];
  readonly mark: number;
}

const DEFAULT_MAX_AGE_MS = 3000;
/**
 * Time for which a sample is recognized. Conversions between clocks shift its
 * time by more than its age may differ, hence twice the age.
 */
const RECOGNIZED_AGES = 2;
/** Bounds the memory that a faulty sender can take. */
const MAX_RECOGNIZED = 64;
const PACE_DECIMALS = 3;

interface KeptSample {
  readonly sample: PaceSample;
  readonly origin: LoadOrigin;
  /** Rises with each kept sample. */
  readonly number: number;
}

/**
 * Rounds a pace as it is sent. Samples are recognized by their exact value, so
 * they are rounded before their instance uses them.
 *
 * @example
 * roundPace(13.65049); // 13.65
 */
export function roundPace(paceMs: number): number {
  return Number(paceMs.toFixed(PACE_DECIMALS));
}

/**
 * Keeps the latest sample of each endpoint from this data centre and from the
 * others: one of each in a report suffices, and limits what a relay sends. A
 * relay returns an instance's samples to it; those are dropped by their value,
 * as their time differs by the error of the clocks.
 */
export class PaceView {
  private readonly near = new Map<EndpointId, KeptSample>();
  private readonly remote = new Map<EndpointId, KeptSample>();
  private readonly recognized = new Map<EndpointId, PaceSample[]>();
  private readonly restartedAtMs = new Map<EndpointId, number>();
  private readonly maxAgeMs: number;
  private count = 0;

  constructor(private readonly options: PaceViewOptions) {
    this.maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
  }

  /** Records a sample of this instance, whose pace is rounded. */
  noteOwn(sample: PaceSample): void {
    this.isDuplicate(sample, sample.atMs);
    this.keep(sample, 'own');
  }

  /**
   * Records a sample of another instance.
   *
   * @returns why it was dropped; undefined when it was recorded.
   * @example
   * const drop = view.addReported(sample, 'local', nowMs);
   */
  addReported(
    sample: PaceSample,
    origin: LoadOrigin,
    nowMs: number,
  ): PaceDrop | undefined {
    const {endpoint, atMs} = sample;
    if (atMs > nowMs) return 'from_the_future';
    const restartedAtMs = this.restartedAtMs.get(endpoint) ?? -Infinity;
    if (nowMs - atMs > this.maxAgeMs || atMs < restartedAtMs) return 'too_old';
    if (!this.options.isKnown(endpoint)) return 'unknown';
    if (this.isDuplicate(sample, nowMs)) return 'duplicate';
    this.keep(sample, origin);
    this.options.onReported(sample);
    return undefined;
  }

  /**
   * Samples recorded since a mark, without those that have become too old.
   *
   * @param mark 0 at first, then the mark of the previous call.
   * @example
   * const {samples, mark} = view.changesSince(before, ['own'], nowMs);
   */
  changesSince(
    mark: number,
    origins: readonly LoadOrigin[],
    nowMs: number,
  ): PaceChanges {
    const kept = [...this.near.values(), ...this.remote.values()];
    const samples = kept
      .filter(
        ({sample, origin, number}) =>
          number > mark &&
          origins.includes(origin) &&
          nowMs - sample.atMs <= this.maxAgeMs,
      )
      .map(({sample}) => sample);
    return {samples, mark: this.count};
  }

  /** Drops earlier samples of an endpoint that has restarted. */
  forget(endpoint: EndpointId, nowMs: number): void {
    this.near.delete(endpoint);
    this.remote.delete(endpoint);
    this.restartedAtMs.set(endpoint, nowMs);
  }

  /** Forgets endpoints that are gone. */
  prune(): void {
    const {near, remote, recognized, restartedAtMs} = this;
    for (const map of [near, remote, recognized, restartedAtMs]) {
      for (const endpoint of map.keys()) {
        if (!this.options.isKnown(endpoint)) map.delete(endpoint);
      }
    }
  }

  /** Recognizes the sample from now on. */
  private isDuplicate(sample: PaceSample, nowMs: number): boolean {
    const {endpoint, paceMs} = sample;
    const sinceMs = nowMs - RECOGNIZED_AGES * this.maxAgeMs;
    const before = this.recognized.get(endpoint) ?? [];
    const recent = before
      .filter(({atMs}) => atMs >= sinceMs)
      .slice(1 - MAX_RECOGNIZED);
    if (recent.some(each => each.paceMs === paceMs)) return true;
    recent.push(sample);
    this.recognized.set(endpoint, recent);
    return false;
  }

  private keep(sample: PaceSample, origin: LoadOrigin): void {
    this.count += 1;
    const kept = origin === 'remote' ? this.remote : this.near;
    kept.set(sample.endpoint, {sample, origin, number: this.count});
  }
}
