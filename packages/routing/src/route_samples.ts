/** What this instance's requests show of all requests of a service. */

import type {RequestTokens} from './engine_ledger.js';
import type {RouteId} from './route.js';

/** Means over the requests of a route. */
export interface RouteMeans {
  /** Requests a second of this instance. */
  readonly requestsPerS: number;
  /** Tokens that an engine has to read, by what it is likely to have cached. */
  readonly unreadTokens: number;
  /** Memory without what is shared with other requests. */
  readonly heldTokens: number;
  /** Memory of the shared parts that other requests use as well. */
  readonly commonTokens: number;
  /** Time from the first event of a stream to its end. */
  readonly streamMs: number;
}

/**
 * Half-life of rates and sizes. A burst lasts about ten seconds, and an
 * instance sees some dozen requests within that time.
 */
const SIZE_HALF_LIFE_MS = 5000;
/** Weight of one stream in the mean duration. */
const STREAM_WEIGHT = 0.1;
/** Until the first stream has ended. */
const FIRST_STREAM_MS = 700;
/** Weight of one request in the share of cached prompts. */
const CACHED_WEIGHT = 0.15;
/** Share of cached prompts that is assumed at first. */
const FIRST_CACHED_SHARE = 0.75;

interface RouteSums {
  /** Decayed sums over the requests that were sent. */
  requests: number;
  ownTokens: number;
  sharedTokens: number;
  outputTokens: number;
  sizesAtMs: number;
  streamMs: number;
  cachedShare: number;
}

/**
 * An instance gets a fiftieth of the requests of a service, at random. Its own
 * requests are an unbiased sample of all, and show a burst while it begins,
 * seconds before the agreed demand does.
 */
export class RouteSamples {
  private readonly routes = new Map<RouteId, RouteSums>();
  /** Of the latest call of {@link read}; a choice reads it for each engine. */
  private latest: ReadonlyMap<RouteId, RouteMeans> | undefined;
  private readAtMs = Number.NEGATIVE_INFINITY;

  noteSent(route: RouteId, tokens: RequestTokens, nowMs: number): void {
    const sums = this.of(route, nowMs);
    decaySizes(sums, nowMs);
    sums.requests += 1;
    sums.ownTokens += tokens.ownTokens;
    sums.sharedTokens += tokens.sharedTokens;
    sums.outputTokens += tokens.outputTokens;
  }

  /** A stream has ended, so long after its first event. */
  noteStream(route: RouteId, streamMs: number): void {
    const sums = this.routes.get(route);
    if (sums === undefined) return;
    this.latest = undefined;
    sums.streamMs += STREAM_WEIGHT * (streamMs - sums.streamMs);
  }

  /** Whether an engine had a shared part that this instance had not sent. */
  noteCached(route: RouteId, isCached: boolean): void {
    const sums = this.routes.get(route);
    if (sums === undefined) return;
    this.latest = undefined;
    sums.cachedShare += CACHED_WEIGHT * ((isCached ? 1 : 0) - sums.cachedShare);
  }

  /** Probability that an engine has a shared part from other instances. */
  cachedShareOf(route: RouteId): number {
    return this.routes.get(route)?.cachedShare ?? FIRST_CACHED_SHARE;
  }

  /**
   * Means of each route of which this instance had requests lately.
   *
   * @example
   * for (const [route, means] of samples.read(nowMs)) sum += means.heldTokens;
   */
  read(nowMs: number): ReadonlyMap<RouteId, RouteMeans> {
    if (this.latest !== undefined && this.readAtMs === nowMs)
      return this.latest;
    const result = new Map<RouteId, RouteMeans>();
    for (const [route, sums] of this.routes) {
      decaySizes(sums, nowMs);
      if (sums.requests < MIN_REQUESTS) {
        this.routes.delete(route);
        continue;
      }
      result.set(route, describeMeans(sums));
    }
    this.latest = result;
    this.readAtMs = nowMs;
    return result;
  }

  private of(route: RouteId, nowMs: number): RouteSums {
    this.latest = undefined;
    const existing = this.routes.get(route);
    if (existing !== undefined) return existing;
    const sums: RouteSums = {
      requests: 0,
      ownTokens: 0,
      sharedTokens: 0,
      outputTokens: 0,
      sizesAtMs: nowMs,
      streamMs: FIRST_STREAM_MS,
      cachedShare: FIRST_CACHED_SHARE,
    };
    this.routes.set(route, sums);
    return sums;
  }
}

/** A route is forgotten when its last request is this far decayed. */
const MIN_REQUESTS = 0.001;

function decaySizes(sums: RouteSums, nowMs: number): void {
  const passedMs = Math.max(0, nowMs - sums.sizesAtMs);
  const kept = 0.5 ** (passedMs / SIZE_HALF_LIFE_MS);
  sums.requests *= kept;
  sums.ownTokens *= kept;
  sums.sharedTokens *= kept;
  sums.outputTokens *= kept;
  sums.sizesAtMs = Math.max(sums.sizesAtMs, nowMs);
}

function describeMeans(sums: RouteSums): RouteMeans {
  const count = Math.max(1e-9, sums.requests);
  const own = sums.ownTokens / count;
  const shared = sums.sharedTokens / count;
  const uncachedShared = shared * (1 - sums.cachedShare);
  return {
    requestsPerS: (sums.requests * Math.LN2 * 1000) / SIZE_HALF_LIFE_MS,
    unreadTokens: own + uncachedShared,
    heldTokens: own + uncachedShared + sums.outputTokens / count,
    commonTokens: shared * sums.cachedShare,
    streamMs: sums.streamMs,
  };
}
