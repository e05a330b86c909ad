/**
 * What an instance believes of each endpoint, from its own traffic alone: load,
 * failures and whether it can be reached. Lists and health checks lag or lie;
 * the answers to our own requests do neither.
 */

import type {EndpointId} from '@snipestage/types/ids.js';

/** The load that an endpoint reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly capacity: number;
}

/** How an attempt ended, as far as it shows the endpoint's health. */
export type EndpointSign =
  /** Answered, whatever the status, as a sound endpoint would. */
  | 'answered'
  /** Its own failure: an error status, a broken or spoiled answer. */
  | 'failed'
  /** Full. */
  | 'rejected'
  /** No connection: it got nothing. */
  | 'unreachable'
  /** It took the request and was silent for longer than it may be. */
  | 'silent';

/** What a {@link EndpointMonitor} is made from; defaults in the brackets. */
export interface EndpointMonitorOptions {
  /** Half-life of the failure share (2,000 ms). */
  readonly failureHalfLifeMs?: number;
  /** First pause after it could not be reached (250 ms); doubles. */
  readonly firstBackoffMs?: number;
  /** Longest pause (2,000 ms): endpoints are back after some seconds. */
  readonly maxBackoffMs?: number;
  /** Half-life of a reported load (1,500 ms): others add to it unseen. */
  readonly loadHalfLifeMs?: number;
}

const DEFAULT_FAILURE_HALF_LIFE_MS = 2000;
const DEFAULT_FIRST_BACKOFF_MS = 250;
const DEFAULT_MAX_BACKOFF_MS = 2000;
const DEFAULT_LOAD_HALF_LIFE_MS = 1500;
/** Weight of one new sign in the share of failures. */
const SIGN_WEIGHT = 0.3;
/** Weight of one new duration in the mean. */
const DURATION_WEIGHT = 0.2;
/** Half-life of a shared load. */
const SHARED_LOAD_HALF_LIFE_MS = 5000;
/** Shared loads count as recent for so long. */
const SHARED_FOR_MS = 3000;

interface Belief {
  inFlight: number;
  /** Work of one's own in flight, in prompt tokens. */
  workInFlight: number;
  failureShare: number;
  failureAtMs: number;
  unreachableCount: number;
  downUntilMs: number;
  rejectedAtMs: number;
  load: ReportedLoad | undefined;
  loadAtMs: number;
  /** When one's own latest attempt began. */
  begunAtMs: number;
  /** Whether other instances share this endpoint's loads. */
  isShared: boolean;
  /** Own requests that the reported load already includes. */
  countedInLoad: number;
  meanDurationMs: number | undefined;
}

/** Times are milliseconds of one clock that does not go back. */
export class EndpointMonitor {
  private readonly beliefs = new Map<EndpointId, Belief>();
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

  /** An attempt begins; {@link end} has to follow. */
  begin(id: EndpointId, work: number, nowMs: number): void {
    const belief = this.of(id);
    belief.begunAtMs = nowMs;
    belief.inFlight += 1;
    belief.workInFlight += work;
  }

  /** An attempt has ended. */
  end(id: EndpointId, work: number): void {
    const belief = this.of(id);
    belief.inFlight = Math.max(0, belief.inFlight - 1);
    belief.workInFlight = Math.max(0, belief.workInFlight - work);
    belief.countedInLoad = Math.min(belief.countedInLoad, belief.inFlight);
  }

  /**
   * Takes in how an attempt went.
   *
   * @example
   * monitor.note(endpoint.id, 'failed', nowMs);
   */
  note(id: EndpointId, sign: EndpointSign, nowMs: number): void {
    const belief = this.of(id);
    const share = this.failureShare(id, nowMs);
    const isFailure = sign === 'failed' || sign === 'silent';
    if (isFailure || sign === 'answered') {
      belief.failureShare = share + SIGN_WEIGHT * ((isFailure ? 1 : 0) - share);
      belief.failureAtMs = nowMs;
    }
    if (sign === 'rejected') belief.rejectedAtMs = nowMs;
    if (sign === 'unreachable') {
      const backoffMs = this.firstBackoffMs * 2 ** belief.unreachableCount;
      belief.downUntilMs = nowMs + Math.min(this.maxBackoffMs, backoffMs);
      belief.unreachableCount += 1;
    } else {
      belief.unreachableCount = 0;
      belief.downUntilMs = 0;
    }
  }

  /** The endpoint reported its load with an answer. */
  noteLoad(id: EndpointId, load: ReportedLoad, nowMs: number): void {
    const belief = this.of(id);
    belief.load = load;
    belief.loadAtMs = nowMs;
    belief.countedInLoad = belief.inFlight;
  }

  /**
   * Records a load reported to another instance. Requests that this instance
   * sent later are not included in it.
   */
  noteReportedLoad(id: EndpointId, load: ReportedLoad, atMs: number): void {
    const belief = this.of(id);
    this.reportedAtMs = Math.max(this.reportedAtMs, atMs);
    if (belief.load !== undefined && belief.loadAtMs >= atMs) return;
    belief.isShared = true;
    belief.load = load;
    belief.loadAtMs = atMs;
    const isInFlightNew = belief.begunAtMs > atMs;
    belief.countedInLoad = Math.max(
      0,
      belief.inFlight - (isInFlightNew ? 1 : 0),
    );
  }

  /**
   * Whether other instances have shared loads recently. All instances then know
   * the same loads and would choose the same endpoint.
   */
  hasRecentReports(nowMs: number): boolean {
    return nowMs - this.reportedAtMs < SHARED_FOR_MS;
  }

  /** Age of the latest known load. */
  loadAgeMs(id: EndpointId, nowMs: number): number | undefined {
    const belief = this.beliefs.get(id);
    return belief?.load && nowMs - belief.loadAtMs;
  }

  /** How long an answer took that the endpoint gave in one piece. */
  noteDuration(id: EndpointId, durationMs: number): void {
    const belief = this.of(id);
    const mean = belief.meanDurationMs ?? durationMs;
    belief.meanDurationMs = mean + DURATION_WEIGHT * (durationMs - mean);
  }

  meanDurationMs(id: EndpointId): number | undefined {
    return this.beliefs.get(id)?.meanDurationMs;
  }

  /** Could not be reached a moment ago. */
  isDown(id: EndpointId, nowMs: number): boolean {
    const belief = this.beliefs.get(id);
    return belief !== undefined && nowMs < belief.downUntilMs;
  }

  /** 0 to 1; fades, so that an endpoint is tried again. */
  failureShare(id: EndpointId, nowMs: number): number {
    const belief = this.beliefs.get(id);
    if (belief === undefined) return 0;
    const ageMs = nowMs - belief.failureAtMs;
    return belief.failureShare * 0.5 ** (ageMs / this.failureHalfLifeMs);
  }

  inFlight(id: EndpointId): number {
    return this.beliefs.get(id)?.inFlight ?? 0;
  }

  /** One's own work in flight, in prompt tokens. */
  workInFlight(id: EndpointId): number {
    return this.beliefs.get(id)?.workInFlight ?? 0;
  }

  /**
   * Requests at the endpoint, of all instances: what it reported last, faded, and
   * those of one's own that came later.
   */
  estimateLoad(id: EndpointId, nowMs: number): number {
    const belief = this.beliefs.get(id);
    if (belief === undefined) return 0;
    const {load, inFlight, countedInLoad} = belief;
    if (load === undefined) return inFlight;
    const others = Math.max(0, load.running + load.waiting - countedInLoad);
    return inFlight + others * this.fadeOf(belief, nowMs);
  }

  /** Requests that waited there when it last reported its load, faded. */
  estimateWaiting(id: EndpointId, nowMs: number): number {
    const belief = this.beliefs.get(id);
    if (belief?.load === undefined) return 0;
    return belief.load.waiting * this.fadeOf(belief, nowMs);
  }

  /** It said that it was full this long ago. */
  sinceRejectedMs(id: EndpointId, nowMs: number): number {
    const belief = this.beliefs.get(id);
    return belief === undefined
      ? Number.POSITIVE_INFINITY
      : nowMs - belief.rejectedAtMs;
  }

  /** Forgets endpoints that are gone, or memory grows with each life. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const [id, belief] of this.beliefs) {
      if (!ids.has(id) && belief.inFlight === 0) this.beliefs.delete(id);
    }
  }

  /**
   * A shared load stays valid for longer: a newer answer to any instance would
   * have replaced it.
   */
  private fadeOf({isShared, loadAtMs}: Belief, nowMs: number): number {
    const halfLifeMs =
      isShared && this.hasRecentReports(nowMs)
        ? SHARED_LOAD_HALF_LIFE_MS
        : this.loadHalfLifeMs;
    return 0.5 ** ((nowMs - loadAtMs) / halfLifeMs);
  }

  private of(id: EndpointId): Belief {
    const existing = this.beliefs.get(id);
    if (existing !== undefined) return existing;
    const belief: Belief = {
      inFlight: 0,
      workInFlight: 0,
      failureShare: 0,
      failureAtMs: 0,
      unreachableCount: 0,
      downUntilMs: 0,
      rejectedAtMs: Number.NEGATIVE_INFINITY,
      load: undefined,
      loadAtMs: 0,
      begunAtMs: Number.NEGATIVE_INFINITY,
      isShared: false,
      countedInLoad: 0,
      meanDurationMs: undefined,
    };
    this.beliefs.set(id, belief);
    return belief;
  }
}
