/** Enforces rate limits that overloaded endpoints announce in their answers. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** Options of {@link EndpointRateLimits}; defaults in brackets. */
export interface EndpointRateLimitsOptions {
  /** Number of instances; undefined while not known. */
  readonly readInstances: () => number | undefined;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

/** How a limit has changed with an answer. */
export type RateLimitChange = 'announced' | 'changed' | 'lifted';

interface Bucket {
  rateLimitPerS: number;
  /** Tokens; a request takes one. */
  level: number;
  updatedAtMs: number;
}

const SECOND_MS = 1000;
/** Number of instances assumed while it is not known. */
const ASSUMED_INSTANCE_COUNT = 100;
/** Instances that have started since they were last counted, as a share. */
const UNCOUNTED_SHARE = 0.5;
/** Unused tokens are kept for this many seconds. */
const MAX_SAVED_S = 0.5;
/** Without occasional requests no instance would notice the end of a limit. */
const MIN_LIMIT_PER_S = 0.1;

/**
 * Load pattern: an overloaded endpoint limits the requests a second from all
 * instances together, while each of dozens of instances has requests for it.
 *
 * Instances divide the rate without messages: each has a token bucket with an
 * equal share of it. Buckets start at random levels, or all instances would
 * send their first request at the same time.
 */
export class EndpointRateLimits {
  private readonly buckets = new Map<EndpointId, Bucket>();
  private readonly random: () => number;

  constructor(private readonly options: EndpointRateLimitsOptions) {
    this.random = options.random ?? Math.random;
  }

  /**
   * Records the limit in an answer of an endpoint.
   *
   * @param rateLimitPerS requests a second; undefined for an answer without a limit.
   * @returns undefined when nothing has changed.
   * @example
   * const change = limits.note(endpoint.id, head.rateLimitPerS, nowMs);
   */
  note(
    id: EndpointId,
    rateLimitPerS: number | undefined,
    nowMs: number,
  ): RateLimitChange | undefined {
    const bucket = this.buckets.get(id);
    if (bucket?.rateLimitPerS === rateLimitPerS) return undefined;
    if (rateLimitPerS === undefined) {
      this.buckets.delete(id);
      return 'lifted';
    }
    if (bucket === undefined) {
      const level = this.random();
      this.buckets.set(id, {rateLimitPerS, level, updatedAtMs: nowMs});
      return 'announced';
    }
    this.refill(bucket, nowMs);
    bucket.rateLimitPerS = rateLimitPerS;
    return 'changed';
  }

  /** Requests a second; undefined for an endpoint without a limit. */
  find(id: EndpointId): number | undefined {
    return this.buckets.get(id)?.rateLimitPerS;
  }

  /**
   * Whether this instance may send an endpoint a request now.
   *
   * @example
   * const open = endpoints.filter(each => limits.mayAdmit(each.id, nowMs));
   */
  mayAdmit(id: EndpointId, nowMs: number): boolean {
    const bucket = this.buckets.get(id);
    if (bucket === undefined) return true;
    this.refill(bucket, nowMs);
    return bucket.level >= 1;
  }

  /** A request is sent to an endpoint. */
  noteSent(id: EndpointId, nowMs: number): void {
    const bucket = this.buckets.get(id);
    if (bucket === undefined) return;
    this.refill(bucket, nowMs);
    bucket.level = Math.max(0, bucket.level - 1);
  }

  /** Mean time between two requests of all instances; 0 without a limit. */
  intervalMs(id: EndpointId): number {
    const rateLimitPerS = this.find(id);
    return rateLimitPerS === undefined
      ? 0
      : SECOND_MS / Math.max(MIN_LIMIT_PER_S, rateLimitPerS);
  }

  /** Forgets the limit of an endpoint that has restarted. */
  forget(id: EndpointId): void {
    this.buckets.delete(id);
  }

  /** Forgets endpoints that are gone. */
  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.buckets.keys()) {
      if (!ids.has(id)) this.buckets.delete(id);
    }
  }

  private refill(bucket: Bucket, nowMs: number): void {
    const sinceMs = Math.max(0, nowMs - bucket.updatedAtMs);
    const ownPerS = this.ownShare(bucket.rateLimitPerS);
    const most = Math.max(1, ownPerS * MAX_SAVED_S);
    const level = bucket.level + (sinceMs / SECOND_MS) * ownPerS;
    bucket.level = Math.min(most, level);
    bucket.updatedAtMs = nowMs;
  }

  private ownShare(rateLimitPerS: number): number {
    const instances = this.options.readInstances() ?? ASSUMED_INSTANCE_COUNT;
    const most = Math.max(1, instances) * (1 + UNCOUNTED_SHARE);
    return Math.max(MIN_LIMIT_PER_S, rateLimitPerS) / most;
  }
}
