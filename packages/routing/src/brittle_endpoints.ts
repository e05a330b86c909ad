/** Keeps brittle endpoints from rejecting more requests than they bear. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link BrittleEndpoints}; defaults in brackets. */
export interface BrittleEndpointsOptions {
  readonly monitor: EndpointMonitor;
  /** Number of instances; undefined while not known. */
  readonly readInstances: () => number | undefined;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

/** How an announcement has changed with an answer. */
export type BrittleChange = 'announced' | 'changed' | 'lifted';

interface Tracked {
  maxRejectionsPerS: number;
  /** When it last rejected a request of this instance. */
  rejectedAtMs: number;
  /** Until then it gets no requests, unless a newer load shows room. */
  heldUntilMs: number;
  /** When this instance may next risk a rejection. */
  nextRiskAtMs: number;
}

const SECOND_MS = 1000;
/** Number of instances assumed while it is not known. */
const ASSUMED_INSTANCE_COUNT = 100;
/**
 * Share of the rejections that instances use up on average. Their attempts are
 * not coordinated, so that several may fall into one second.
 */
const USED_SHARE = 1 / 3;
/**
 * Utilization below which a request is accepted even if the known load is
 * somewhat out of date.
 */
const SAFE_UTILIZATION = 0.6;
/**
 * Shortest and longest hold, as shares of the interval: instances whose requests
 * were rejected together must not return together.
 */
const MIN_HOLD_SHARE = 0.5;
const MAX_HOLD_SHARE = 2;

/**
 * Load pattern: an endpoint falls over when it has to reject more than a few
 * requests a second, of all instances together; its requests then go to others
 * that are as brittle.
 *
 * Instances divide the rejections without messages. Each sends a request to an
 * endpoint that may be full only once in its share of the time, none for as
 * long after a rejection, and none at all to an endpoint known to be full.
 */
export class BrittleEndpoints {
  private readonly tracked = new Map<EndpointId, Tracked>();
  private readonly random: () => number;

  constructor(private readonly options: BrittleEndpointsOptions) {
    this.random = options.random ?? Math.random;
  }

  /**
   * Records what an answer of an endpoint announces.
   *
   * @param maxRejectionsPerS undefined for an endpoint that isn't brittle.
   * @returns undefined when nothing has changed.
   * @example
   * const change = brittle.note(endpoint.id, head.maxRejectionsPerS, nowMs);
   */
  note(
    id: EndpointId,
    maxRejectionsPerS: number | undefined,
    nowMs: number,
  ): BrittleChange | undefined {
    const known = this.tracked.get(id);
    if (known?.maxRejectionsPerS === maxRejectionsPerS) return undefined;
    if (maxRejectionsPerS === undefined) {
      this.tracked.delete(id);
      return 'lifted';
    }
    if (known !== undefined) {
      known.maxRejectionsPerS = maxRejectionsPerS;
      return 'changed';
    }
    const intervalMs = this.intervalMs(maxRejectionsPerS);
    this.tracked.set(id, {
      maxRejectionsPerS,
      rejectedAtMs: 0,
      heldUntilMs: 0,
      nextRiskAtMs: nowMs + this.random() * intervalMs,
    });
    return 'announced';
  }

  /** Rejections a second that it bears; undefined unless it is brittle. */
  find(id: EndpointId): number | undefined {
    return this.tracked.get(id)?.maxRejectionsPerS;
  }

  /**
   * Whether this instance may send an endpoint a request now.
   *
   * @example
   * const open = endpoints.filter(each => brittle.mayAdmit(each, nowMs));
   */
  mayAdmit(endpoint: ServingEndpoint, nowMs: number): boolean {
    const tracked = this.tracked.get(endpoint.id);
    if (tracked === undefined) return true;
    const utilization = this.utilizationWithOneMore(endpoint, nowMs);
    if (utilization > 1) return false;
    const isSafe = utilization <= SAFE_UTILIZATION;
    if (nowMs < tracked.heldUntilMs) {
      return isSafe && this.hasNewerLoad(endpoint.id, tracked, nowMs);
    }
    return isSafe || nowMs >= tracked.nextRiskAtMs;
  }

  /** A request is sent to an endpoint. */
  noteSent(endpoint: ServingEndpoint, nowMs: number): void {
    const tracked = this.tracked.get(endpoint.id);
    if (tracked === undefined) return;
    if (this.utilizationWithOneMore(endpoint, nowMs) <= SAFE_UTILIZATION) {
      return;
    }
    tracked.nextRiskAtMs = nowMs + this.intervalMs(tracked.maxRejectionsPerS);
  }

  /** An endpoint has rejected a request for want of room. */
  noteRejected(id: EndpointId, nowMs: number): void {
    const tracked = this.tracked.get(id);
    if (tracked === undefined) return;
    const intervalMs = this.intervalMs(tracked.maxRejectionsPerS);
    const share =
      MIN_HOLD_SHARE + this.random() * (MAX_HOLD_SHARE - MIN_HOLD_SHARE);
    tracked.rejectedAtMs = nowMs;
    tracked.heldUntilMs = nowMs + intervalMs * share;
  }

  /** Time until a request may be sent, at the latest; 0 if not known. */
  holdLeftMs(id: EndpointId, nowMs: number): number {
    const tracked = this.tracked.get(id);
    return tracked === undefined ? 0 : Math.max(0, tracked.heldUntilMs - nowMs);
  }

  /** Forgets an endpoint that has restarted. */
  forget(id: EndpointId): void {
    this.tracked.delete(id);
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.tracked.keys()) {
      if (!ids.has(id)) this.tracked.delete(id);
    }
  }

  /** Whether a load was reported since the latest rejection. */
  private hasNewerLoad(
    id: EndpointId,
    {rejectedAtMs}: Tracked,
    nowMs: number,
  ): boolean {
    const ageMs = this.options.monitor.loadAgeMs(id, nowMs);
    return ageMs !== undefined && nowMs - ageMs > rejectedAtMs;
  }

  private utilizationWithOneMore(
    {id, capacity}: ServingEndpoint,
    nowMs: number,
  ): number {
    const load = this.options.monitor.estimateLoad(id, nowMs);
    return (load + 1) / Math.max(1, capacity);
  }

  /** Time between two rejections of this instance that can be afforded. */
  private intervalMs(maxRejectionsPerS: number): number {
    const instances = this.options.readInstances() ?? ASSUMED_INSTANCE_COUNT;
    const allPerS = USED_SHARE * Math.max(1, maxRejectionsPerS);
    return Math.max(SECOND_MS, (instances * SECOND_MS) / allPerS);
  }
}
