/** Keeps the latest load of each endpoint, as reported to any instance. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {EndpointRateLimits} from './endpoint_rate_limits.js';
import type {EndpointMonitor, ReportedLoad} from './endpoint_monitor.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** A load that an endpoint reported with an answer. */
export interface LoadReading {
  readonly endpoint: EndpointId;
  readonly load: ReportedLoad;
  /**
   * Requests a second that the endpoint takes from all instances, if limited.
   */
  readonly rateLimitPerS?: number;
  /** Time of the answer by this instance's clock. */
  readonly atMs: number;
}

/**
 * The instance that got the answer: this one, one of its data centre, another.
 */
export type LoadOrigin = 'own' | 'local' | 'remote';

/** Options of {@link LoadView}; defaults in brackets. */
export interface LoadViewOptions {
  readonly monitor: EndpointMonitor;
  /** Receives rate limits that other instances have read from answers. */
  readonly rateLimits?: EndpointRateLimits;
  /**
   * Whether loads of an endpoint are exchanged; false for unknown endpoints.
   */
  readonly isShared: (endpoint: EndpointId) => boolean;
  /** Receives each load that another instance has read from an answer. */
  readonly onReported?: (reading: LoadReading, nowMs: number) => void;
  /** Older readings are dropped (3,000 ms). */
  readonly maxAgeMs?: number;
}

/** Readings since a mark, and the mark for the next call. */
export interface LoadChanges {
  readonly readings: readonly LoadReading[];
  readonly mark: number;
}

/** Why a reading of another instance was dropped. */
export type LoadDrop = 'older' | 'too_old' | 'from_the_future' | 'not_shared';

const DEFAULT_MAX_AGE_MS = 3000;

interface KeptReading {
  readonly reading: LoadReading;
  readonly origin: LoadOrigin;
  /** Rises with each recorded reading. */
  readonly number: number;
}

/**
 * Load pattern: hundreds of instances in front of a hundred engines. Each
 * instance gets an answer from each engine every half a minute, so its own
 * answers don't show which engines are full. Together the instances get one
 * about every second; they exchange these readings.
 */
export class LoadView {
  private readonly kept = new Map<EndpointId, KeptReading>();
  private readonly restartedAtMs = new Map<EndpointId, number>();
  private readonly maxAgeMs: number;
  private count = 0;
  private onSilence: (() => void) | undefined;

  constructor(private readonly options: LoadViewOptions) {
    this.maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
  }

  /** Records a load reported to this instance. */
  noteOwn(reading: LoadReading): void {
    const {endpoint, load, atMs} = reading;
    this.options.monitor.noteLoad(endpoint, load, atMs);
    if (this.options.isShared(endpoint)) this.keep(reading, 'own');
  }

  /**
   * Records that an endpoint has let a request wait without an answer. Until an
   * answer to any instance is newer it counts as one with a waiting request:
   * endpoints report their load with answers only, so one that begins nothing
   * would look as it did before, and get further requests from all instances.
   *
   * @returns false where the endpoint's load isn't exchanged.
   * @example
   * view.noteSilent(endpoint, nowMs);
   */
  noteSilent(
    {id, capacity}: Pick<ServingEndpoint, 'id' | 'capacity'>,
    nowMs: number,
  ): boolean {
    if (!this.options.isShared(id)) return false;
    const known = this.kept.get(id)?.reading.load;
    const load = {
      running: known?.running ?? 0,
      waiting: Math.max(1, known?.waiting ?? 0),
      capacity,
    };
    const rateLimitPerS = this.options.rateLimits?.find(id);
    this.noteOwn({endpoint: id, load, rateLimitPerS, atMs: nowMs});
    this.onSilence?.();
    return true;
  }

  /** Calls back when this instance has recorded a silent endpoint. */
  watchSilences(onSilence: () => void): void {
    this.onSilence = onSilence;
  }

  /**
   * Records a reading of another instance.
   *
   * @returns why it was dropped; undefined when it was recorded.
   * @example
   * const drop = view.addReported(reading, 'local', nowMs);
   */
  addReported(
    reading: LoadReading,
    origin: LoadOrigin,
    nowMs: number,
  ): LoadDrop | undefined {
    const {endpoint, load, rateLimitPerS, atMs} = reading;
    if (atMs > nowMs) return 'from_the_future';
    if (nowMs - atMs > this.maxAgeMs) return 'too_old';
    if (!this.options.isShared(endpoint)) return 'not_shared';
    const known = this.kept.get(endpoint);
    if (known !== undefined && known.reading.atMs >= atMs) return 'older';
    if (atMs < (this.restartedAtMs.get(endpoint) ?? -Infinity)) return 'older';
    this.options.monitor.noteReportedLoad(endpoint, load, atMs);
    this.options.rateLimits?.note(endpoint, rateLimitPerS, nowMs);
    this.keep(reading, origin);
    this.options.onReported?.(reading, nowMs);
    return undefined;
  }

  /**
   * Readings recorded since a mark, without those that have become too old.
   *
   * @param mark 0 at first, then the mark of the previous call.
   * @example
   * const {readings, mark} = view.changesSince(before, ['own'], nowMs);
   */
  changesSince(
    mark: number,
    origins: readonly LoadOrigin[],
    nowMs: number,
  ): LoadChanges {
    const readings: LoadReading[] = [];
    for (const {reading, origin, number} of this.kept.values()) {
      const isNew = number > mark && origins.includes(origin);
      if (isNew && nowMs - reading.atMs <= this.maxAgeMs)
        readings.push(reading);
    }
    return {readings, mark: this.count};
  }

  /**
   * Forgets the load of an endpoint that has restarted. Older readings of
   * other instances are dropped from now on.
   */
  forget(endpoint: EndpointId, nowMs: number): void {
    this.kept.delete(endpoint);
    this.restartedAtMs.set(endpoint, nowMs);
  }

  /** Forgets endpoints that are no longer known. */
  prune(): void {
    for (const map of [this.kept, this.restartedAtMs]) {
      for (const endpoint of map.keys()) {
        if (!this.options.isShared(endpoint)) map.delete(endpoint);
      }
    }
  }

  private keep(reading: LoadReading, origin: LoadOrigin): void {
    this.count += 1;
    this.kept.set(reading.endpoint, {reading, origin, number: this.count});
  }
}
