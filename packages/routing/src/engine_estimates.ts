/** Estimates what engines hold and have to read for other instances. */

import type {RouteMeans} from './route_samples.js';
import type {RouteId} from './route.js';

/** Input of {@link estimateOtherTokens}. */
export interface OthersInput {
  /** Requests of other instances, by the latest load. */
  readonly requests: number;
  /** Of these, those that waited. */
  readonly waiting: number;
  readonly loadAgeMs: number;
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
  const {requests, waiting, means, mix, cacheTokens} = input;
  let held = 0;
  let common = 0;
  let unread = 0;
  for (const [route, mean] of means) {
    const share = mix.get(route) ?? 0;
    const unbegun = Math.max(waiting, requests * mean.unreadShare);
    held += share * requests * mean.heldTokens;
    common += share * requests * mean.commonTokens;
    unread += share * unbegun * mean.unreadTokens;
  }
  held += Math.min(common, cacheTokens * COMMON_MEMORY_SHARE);
  return {held: held + heldSince(input), unread};
}

function heldSince({
  means,
  loadAgeMs,
  otherInstances,
  engines,
}: OthersInput): number {
  let tokensPerS = 0;
  for (const {requestsPerS, heldTokens} of means.values())
    tokensPerS += requestsPerS * heldTokens;
  const others = Math.max(0, otherInstances);
  return (tokensPerS * others * loadAgeMs) / (1000 * Math.max(1, engines));
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
 * Share of each route in the requests of a service.
 *
 * @example
 * const mix = shareRequests(samples.read(nowMs));
 */
export function shareRequests(
  means: ReadonlyMap<RouteId, RouteMeans>,
): ReadonlyMap<RouteId, number> {
  let total = 0;
  for (const {requestsPerS} of means.values()) total += requestsPerS;
  const shares = [...means].map(
    ([route, {requestsPerS}]) =>
      [route, requestsPerS / Math.max(1e-9, total)] as const,
  );
  return new Map(shares);
}
