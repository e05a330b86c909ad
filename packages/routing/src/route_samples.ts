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
  /** Share of the requests at engines whose streams have not begun. */
  readonly unreadShare: number;
}

/**
 * Half-life of rates and sizes. A burst lasts about ten seconds, and an
 * instance sees some dozen requests within that time.
 */
const SIZE_HALF_LIFE_MS = 5000;
/** Half-life of the requests in progress: about that of a queue. */
const PROGRESS_HALF_LIFE_MS = 1000;
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
  /** Requests in progress, and their mean over the last time. */
  unread: number;
  inProgress: number;
  meanUnread: number;
  meanInProgress: number;
  progressAtMs: number;
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
    this.change(sums, {unread: 1, inProgress: 1}, nowMs);
  }

  /** The stream of a request has begun. */
  noteBegun(route: RouteId, nowMs: number): void {
    this.change(this.of(route, nowMs), {unread: -1, inProgress: 0}, nowMs);
  }

  noteEnded(route: RouteId, hasBegun: boolean, nowMs: number): void {
    const unread = hasBegun ? 0 : -1;
    this.change(this.of(route, nowMs), {unread, inProgress: -1}, nowMs);
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
      this.change(sums, {unread: 0, inProgress: 0}, nowMs);
      if (sums.requests < MIN_REQUESTS && sums.inProgress === 0) {
        this.routes.delete(route);
        continue;
      }
      result.set(route, describeMeans(sums));
    }
    this.latest = result;
    this.readAtMs = nowMs;
    return result;
  }

  private change(
    sums: RouteSums,
    by: {readonly unread: number; readonly inProgress: number},
    nowMs: number,
  ): void {
    const passedMs = Math.max(0, nowMs - sums.progressAtMs);
    const kept = 0.5 ** (passedMs / PROGRESS_HALF_LIFE_MS);
    sums.meanUnread = sums.meanUnread * kept + sums.unread * (1 - kept);
    sums.meanInProgress =
      sums.meanInProgress * kept + sums.inProgress * (1 - kept);
    sums.unread += by.unread;
    sums.inProgress += by.inProgress;
    sums.progressAtMs = Math.max(sums.progressAtMs, nowMs);
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
      unread: 0,
      inProgress: 0,
      meanUnread: 0,
      meanInProgress: 0,
      progressAtMs: nowMs,
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
    unreadShare: sums.meanUnread / Math.max(1e-9, sums.meanInProgress),
  };
}
