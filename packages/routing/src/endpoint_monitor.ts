/**
 * Tracks the load, failures and reachability of each endpoint from the traffic
 * of this instance, and loads that other instances have shared. Lists and
 * health checks lag or are wrong; answers to requests are neither.
 */

import type {EndpointId} from '@snipestage/types/ids.js';

/** The load that an endpoint reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly capacity: number;
  /**
   * How long work takes on the endpoint's machine at the moment, relative to
   * usual; undefined where it doesn't state that.
   */
  readonly workTimeRatio?: number;
}

/** How an attempt ended, as far as it shows the endpoint's health. */
export type EndpointOutcome =
  /** Answered as a healthy endpoint would, whatever the status. */
  | 'answered'
  /** A failure of the endpoint: an error status, a broken or invalid answer. */
  | 'failed'
  /** Rejected because the endpoint is full. */
  | 'rejected'
  /** No connection: the endpoint received nothing. */
  | 'unreachable'
  /** It received the request and sent nothing for longer than allowed. */
  | 'silent';

/** Options of {@link EndpointMonitor}; defaults in brackets. */
export interface EndpointMonitorOptions {
  /** Half-life of the failure share (2,000 ms). */
  readonly failureHalfLifeMs?: number;
  /** First pause after a failure to connect (250 ms); doubles. */
  readonly firstBackoffMs?: number;
  /** Longest pause (2,000 ms): endpoints restart within some seconds. */
  readonly maxBackoffMs?: number;
  /** Half-life of a reported load (1,500 ms): other instances change it. */
  readonly loadHalfLifeMs?: number;
}

const DEFAULT_FAILURE_HALF_LIFE_MS = 2000;
const DEFAULT_FIRST_BACKOFF_MS = 250;
const DEFAULT_MAX_BACKOFF_MS = 2000;
const DEFAULT_LOAD_HALF_LIFE_MS = 1500;
/** Weight of one new attempt in the share of failures. */
const OUTCOME_WEIGHT = 0.3;
/**
 * Silences of one endpoint within this time count as one: a healthy endpoint may
 * pause for about a second, and all its requests notice at once.
 */
const SAME_SILENCE_MS = 1500;
/** Weight of one new duration in the mean. */
const DURATION_WEIGHT = 0.2;
/** Half-life of a load that other instances have shared. */
const SHARED_LOAD_HALF_LIFE_MS = 5000;
/** Time for which shared loads count as recent. */
const SHARED_LOAD_RECENT_MS = 3000;

interface TrackedEndpoint {
  inFlight: number;
  /** Work of this instance in flight, in prompt tokens. */
  workInFlight: number;
  failureShare: number;
  failureAtMs: number;
  /** When the latest silence that counted was noticed. */
  silentAtMs: number;
  unreachableCount: number;
  /** When the latest failure to connect was noticed. */
  unreachableAtMs: number;
  downUntilMs: number;
  /** Whether a pause was ended early since this instance last reached it. */
  hasEndedPause: boolean;
  rejectedAtMs: number;
  load: ReportedLoad | undefined;
  loadAtMs: number;
  /** When the latest attempt of this instance began. */
  begunAtMs: number;
  /** Whether another instance has shared a load of this endpoint. */
  isShared: boolean;
  /** Own requests that the reported load already includes. */
  countedInLoad: number;
  meanDurationMs: number | undefined;
}

const NEW_ENDPOINT: Readonly<TrackedEndpoint> = {
  inFlight: 0,
  workInFlight: 0,
  failureShare: 0,
  failureAtMs: 0,
  silentAtMs: Number.NEGATIVE_INFINITY,
  unreachableCount: 0,
  unreachableAtMs: Number.NEGATIVE_INFINITY,
  downUntilMs: 0,
  hasEndedPause: false,
  rejectedAtMs: Number.NEGATIVE_INFINITY,
  load: undefined,
  loadAtMs: 0,
  begunAtMs: Number.NEGATIVE_INFINITY,
  isShared: false,
  countedInLoad: 0,
  meanDurationMs: undefined,
};

/** Times are milliseconds of one monotonic clock. */
export class EndpointMonitor {
  private readonly trackedEndpoints = new Map<EndpointId, TrackedEndpoint>();
  private readonly failureHalfLifeMs: number;
  private readonly firstBackoffMs: number;
  private readonly maxBackoffMs: number;
  private readonly loadHalfLifeMs: number;
  private reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: EndpointMonitorOptions = {}) {
    this.failureHalfLifeMs =
      options.failureHalfLifeMs ?? DEFAULT_FAILURE_HALF_LIFE_MS;
    this.firstBackoffMs = options.firstBackoffMs ?? DEFAULT_FIRST_BACKOFF_MS;
    this.maxBackoffMs = options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
    this.loadHalfLifeMs = options.loadHalfLifeMs ?? DEFAULT_LOAD_HALF_LIFE_MS;
  }

  /** An attempt begins; {@link end} must be called when it ends. */
  begin(id: EndpointId, work: number, nowMs: number): void {
    const tracked = this.of(id);
    tracked.begunAtMs = nowMs;
    tracked.inFlight += 1;
    tracked.workInFlight += work;
  }

  /** An attempt has ended. */
  end(id: EndpointId, work: number): void {
    const tracked = this.of(id);
    tracked.inFlight = Math.max(0, tracked.inFlight - 1);
    tracked.workInFlight = Math.max(0, tracked.workInFlight - work);
    tracked.countedInLoad = Math.min(tracked.countedInLoad, tracked.inFlight);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @example
   * monitor.note(endpoint.id, 'failed', nowMs);
   */
  note(id: EndpointId, outcome: EndpointOutcome, nowMs: number): void {
    const tracked = this.of(id);
    const share = this.failureShare(id, nowMs);
    const isFailure = outcome === 'failed' || outcome === 'silent';
    const isSameSilence =
      outcome === 'silent' && nowMs - tracked.silentAtMs < SAME_SILENCE_MS;
    if (outcome === 'silent' && !isSameSilence) tracked.silentAtMs = nowMs;
    if ((isFailure && !isSameSilence) || outcome === 'answered') {
      tracked.failureShare =
        share + OUTCOME_WEIGHT * ((isFailure ? 1 : 0) - share);
      tracked.failureAtMs = nowMs;
    }
    if (outcome === 'rejected') tracked.rejectedAtMs = nowMs;
    if (outcome === 'unreachable') {
      const backoffMs = this.firstBackoffMs * 2 ** tracked.unreachableCount;
      tracked.downUntilMs = nowMs + Math.min(this.maxBackoffMs, backoffMs);
      tracked.unreachableCount += 1;
      tracked.unreachableAtMs = nowMs;
    } else {
      tracked.unreachableCount = 0;
      tracked.hasEndedPause = false;
      tracked.downUntilMs = 0;
    }
  }

  /**
   * Another instance was answered at a time: ends the pause after an earlier
   * failure to connect. Happens once until this instance reaches the endpoint
   * itself: if the next attempt fails too, this instance's own link is at fault.
   */
  endPause(id: EndpointId, answeredAtMs: number): void {
    const tracked = this.trackedEndpoints.get(id);
    if (tracked === undefined || tracked.hasEndedPause) return;
    if (tracked.unreachableCount === 0) return;
    if (answeredAtMs <= tracked.unreachableAtMs) return;
    tracked.hasEndedPause = true;
    tracked.downUntilMs = 0;
  }

  /** The endpoint reported its load with an answer. */
  noteLoad(id: EndpointId, load: ReportedLoad, nowMs: number): void {
    const tracked = this.of(id);
    tracked.load = load;
    tracked.loadAtMs = nowMs;
    tracked.countedInLoad = tracked.inFlight;
  }

  /**
   * Records a load reported to another instance. The latest request of this
   * instance counts as not included in it if it was sent later; when earlier
   * ones were sent is not kept.
   */
  noteReportedLoad(id: EndpointId, load: ReportedLoad, atMs: number): void {
    const tracked = this.of(id);
    this.reportedAtMs = Math.max(this.reportedAtMs, atMs);
    if (tracked.load !== undefined && tracked.loadAtMs >= atMs) return;
    tracked.isShared = true;
    tracked.load = load;
    tracked.loadAtMs = atMs;
    const isInFlightNew = tracked.begunAtMs > atMs;
    tracked.countedInLoad = Math.max(
      0,
      tracked.inFlight - (isInFlightNew ? 1 : 0),
    );
  }

  /**
   * Whether other instances have shared loads recently. All instances then know
   * the same loads and would choose the same endpoint.
   */
  hasRecentReports(nowMs: number): boolean {
    return nowMs - this.reportedAtMs < SHARED_LOAD_RECENT_MS;
  }

  /** Age of the latest known load. */
  loadAgeMs(id: EndpointId, nowMs: number): number | undefined {
    const tracked = this.trackedEndpoints.get(id);
    return tracked?.load && nowMs - tracked.loadAtMs;
  }

  /** Mean age of the latest known loads; 0 when none is known. */
  meanLoadAgeMs(ids: readonly EndpointId[], nowMs: number): number {
    const ages = ids.flatMap(id => this.loadAgeMs(id, nowMs) ?? []);
    return ages.reduce((sum, age) => sum + age, 0) / Math.max(1, ages.length);
  }

  /** Records how long an answer took that is not a stream. */
  noteDuration(id: EndpointId, durationMs: number): void {
    const tracked = this.of(id);
    const mean = tracked.meanDurationMs ?? durationMs;
    tracked.meanDurationMs = mean + DURATION_WEIGHT * (durationMs - mean);
  }

  meanDurationMs(id: EndpointId): number | undefined {
    return this.trackedEndpoints.get(id)?.meanDurationMs;
  }

  /** Whether the pause after a failure to connect is in progress. */
  isDown(id: EndpointId, nowMs: number): boolean {
    const tracked = this.trackedEndpoints.get(id);
    return tracked !== undefined && nowMs < tracked.downUntilMs;
  }

  /** Share of failures, 0 to 1; decays, so that an endpoint is tried again. */
  failureShare(id: EndpointId, nowMs: number): number {
    const tracked = this.trackedEndpoints.get(id);
    if (tracked === undefined) return 0;
    const ageMs = nowMs - tracked.failureAtMs;
    return tracked.failureShare * 0.5 ** (ageMs / this.failureHalfLifeMs);
  }

  inFlight(id: EndpointId): number {
    return this.trackedEndpoints.get(id)?.inFlight ?? 0;
  }

  /** Work of this instance in flight, in prompt tokens. */
  workInFlight(id: EndpointId): number {
    return this.trackedEndpoints.get(id)?.workInFlight ?? 0;
  }

  /**
   * Requests of all instances at the endpoint: those of this instance that are
   * in flight, and those of others by the last reported load, which decays.
   */
  estimateLoad(id: EndpointId, nowMs: number): number {
    const tracked = this.trackedEndpoints.get(id);
    if (tracked === undefined) return 0;
    const {load, inFlight, countedInLoad} = tracked;
    if (load === undefined) return inFlight;
    const others = Math.max(0, load.running + load.waiting - countedInLoad);
    return inFlight + others * this.decayOf(tracked, nowMs);
  }

  /** Requests that waited when the load was last reported; decays. */
  estimateWaiting(id: EndpointId, nowMs: number): number {
    const tracked = this.trackedEndpoints.get(id);
    if (tracked?.load === undefined) return 0;
    return tracked.load.waiting * this.decayOf(tracked, nowMs);
  }

  /** Time since the endpoint last rejected a request as full. */
  sinceRejectedMs(id: EndpointId, nowMs: number): number {
    const tracked = this.trackedEndpoints.get(id);
    return tracked === undefined
      ? Number.POSITIVE_INFINITY
      : nowMs - tracked.rejectedAtMs;
  }

  /**
   * Forgets failures to connect, which this instance's own links have caused.
   */
  forgetUnreachable(): void {
    for (const tracked of this.trackedEndpoints.values()) {
      tracked.unreachableCount = 0;
      tracked.downUntilMs = 0;
    }
  }

  /**
   * Forgets the load and failures of an endpoint that has restarted; its
   * attempts in flight remain counted until they end.
   */
  forgetReports(id: EndpointId): void {
    const tracked = this.trackedEndpoints.get(id);
    if (tracked === undefined) return;
    const {inFlight, workInFlight} = tracked;
    this.trackedEndpoints.set(id, {...NEW_ENDPOINT, inFlight, workInFlight});
  }

  /** Forgets endpoints that are gone; else memory grows with each restart. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const [id, tracked] of this.trackedEndpoints) {
      if (!ids.has(id) && tracked.inFlight === 0)
        this.trackedEndpoints.delete(id);
    }
  }

  /**
   * A shared load stays valid for longer: a newer answer to any instance would
   * have replaced it.
   */
  private decayOf(
    {isShared, loadAtMs}: TrackedEndpoint,
    nowMs: number,
  ): number {
    const halfLifeMs =
      isShared && this.hasRecentReports(nowMs)
        ? SHARED_LOAD_HALF_LIFE_MS
        : this.loadHalfLifeMs;
    return 0.5 ** ((nowMs - loadAtMs) / halfLifeMs);
  }

  private of(id: EndpointId): TrackedEndpoint {
    const existing = this.trackedEndpoints.get(id);
    if (existing !== undefined) return existing;
    const tracked: TrackedEndpoint = {...NEW_ENDPOINT};
    this.trackedEndpoints.set(id, tracked);
    return tracked;
  }
}
