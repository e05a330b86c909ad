/** Estimates what engines hold and have to read for other instances. */

import type {RouteMeans} from './route_samples.js';
import type {RouteId} from './route.js';

/** Input of {@link estimateOtherTokens}. */
export interface OthersInput {
  /** Requests of other instances, by the latest load. */
  readonly requests: number;
  /** Of these, those that waited. */
  readonly waiting: number;
  /** Requests of this instance there whose streams have not begun. */
  readonly ownUnread: number;
  /** All requests of this instance there. */
  readonly ownRequests: number;
  readonly loadAgeMs: number;
  /** Speed at which the engine reads. */
  readonly tokensPerMs: number;
  /** Means over this instance's own requests. */
  readonly means: ReadonlyMap<RouteId, RouteMeans>;
  /** Share of each route in the requests that the engine gets. */
  readonly mix: ReadonlyMap<RouteId, number>;
  /** Memory of the engine. */
  readonly cacheTokens: number;
  readonly otherInstances: number;
  /** Engines of the service. */
  readonly engines: number;
}

/** Tokens of the requests of other instances at an engine. */
export interface OtherTokens {
  readonly held: number;
  readonly unread: number;
}

/** All shared parts together take up about a quarter of the memory. */
const COMMON_MEMORY_SHARE = 0.25;
/** Shorter shared parts don't show whether they were cached. */
const MIN_SHARED_TOKENS = 1000;

/**
 * Estimates the tokens of other instances' requests at an engine. Those that
 * were sent since its load was reported count as held too: all instances see
 * the same free memory, and would fill it at once.
 *
 * @example
 * const {held, unread} = estimateOtherTokens(input);
 */
export function estimateOtherTokens(input: OthersInput): OtherTokens {
  const {requests, means, mix, cacheTokens} = input;
  let held = 0;
  let common = 0;
  let unreadEach = 0;
  let streamMs = 0;
  for (const [route, mean] of means) {
    const share = mix.get(route) ?? 0;
    held += share * requests * mean.heldTokens;
    common += share * requests * mean.commonTokens;
    unreadEach += share * mean.unreadTokens;
    streamMs += share * mean.streamMs;
  }
  const unread =
    unreadEach * countUnread(input, {unreadEach, streamMs}) +
    unreadSince(input);
  held += Math.min(common, cacheTokens * COMMON_MEMORY_SHARE);
  return {held: held + heldSince(input), unread};
}

/**
 * Requests of other instances whose streams have not begun. Streams begin at
 * most as fast as prompts are read, so that no more than those of their
 * duration can be running (Little's law); all others are still to be read.
 */
function countUnread(
  {requests, waiting, ownRequests, ownUnread, tokensPerMs}: OthersInput,
  mean: {readonly unreadEach: number; readonly streamMs: number},
): number {
  const readMs = Math.max(1e-9, mean.unreadEach / tokensPerMs);
  const begun = mean.streamMs / readMs;
  const unread = requests + ownRequests - begun - ownUnread;
  // Without a queue, requests are unread for the time of their own reading.
  const usual = requests * (readMs / (readMs + mean.streamMs));
  return Math.min(requests, Math.max(waiting, unread, usual));
}

/** Tokens that other instances send to each engine in a millisecond. */
function arrivingTokensPerMs(
  {means, otherInstances, engines}: OthersInput,
  tokensOf: (means: RouteMeans) => number,
): number {
  let tokensPerS = 0;
  for (const mean of means.values())
    tokensPerS += mean.requestsPerS * tokensOf(mean);
  const others = Math.max(0, otherInstances);
  return (tokensPerS * others) / (1000 * Math.max(1, engines));
}

/** Tokens by which queues have grown since the load was reported. */
function unreadSince(input: OthersInput): number {
  const arriving = arrivingTokensPerMs(input, mean => mean.unreadTokens);
  return Math.max(0, arriving - input.tokensPerMs) * input.loadAgeMs;
}

function heldSince(input: OthersInput): number {
  const arriving = arrivingTokensPerMs(input, mean => mean.heldTokens);
  return arriving * input.loadAgeMs;
}

/** Input of {@link judgeCached}; all in tokens. */
export interface CacheEvidence {
  readonly ownTokens: number;
  readonly sharedTokens: number;
  /** Unread at the engine when the request was sent. */
  readonly aheadTokens: number;
  /** What the engine can read in the time that passed until the first event. */
  readonly readTokens: number;
}

/**
 * Whether the time until the first event is closer to that of a prompt whose
 * shared part was cached than to one that was read as a whole; undefined where
 * they don't differ. Where the queue was longer than estimated, cached prompts
 * look uncached; the estimate of queues then rises until both estimates
 * together explain the times.
 *
 * @example
 * const isCached = judgeCached(evidence);
 */
export function judgeCached({
  ownTokens,
  sharedTokens,
  aheadTokens,
  readTokens,
}: CacheEvidence): boolean | undefined {
  if (sharedTokens < MIN_SHARED_TOKENS) return undefined;
  const ifCached = Math.max(1, aheadTokens + ownTokens);
  const ifUncached = ifCached + sharedTokens;
  return readTokens < Math.sqrt(ifCached * ifUncached);
}

/**
 * Share of each route in the requests of a service, or in those of some of its
 * routes.
 *
 * @example
 * const mix = shareRequests(samples.read(nowMs), split.routesAt(engine, nowMs));
 */
export function shareRequests(
  means: ReadonlyMap<RouteId, RouteMeans>,
  routes?: ReadonlySet<RouteId>,
): ReadonlyMap<RouteId, number> {
  const all = [...means];
  const some = all.filter(([route]) => routes?.has(route) ?? true);
  const included = some.length > 0 ? some : all;
  let total = 0;
  for (const [, {requestsPerS}] of included) total += requestsPerS;
  const shares = included.map(
    ([route, {requestsPerS}]) =>
      [route, requestsPerS / Math.max(1e-9, total)] as const,
  );
  return new Map(shares);
}
