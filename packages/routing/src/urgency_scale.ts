/** Maps the urgency of a request to the few ranks that endpoints support. */

import type {ClientAccountKeys, Route, RoutingConfiguration} from './route.js';

/** Options of {@link UrgencyScale}; defaults in brackets. */
export interface UrgencyScaleOptions {
  /** Number of ranks that endpoints support (10, as model engines do). */
  readonly rankCount?: number;
}

const DEFAULT_RANK_COUNT = 10;

/**
 * Ranks requests by the tier of their route, and those of routes of one tier by
 * the tier of their client account. Rank 0 is served first.
 *
 * An engine takes a single priority. If accounts were compared first, a burst
 * of a preferred account's long prompts would preempt the short answers that
 * all others wait for: the engine processes those again from the start, and
 * their callers leave. If accounts were ignored, a preferred account's callers
 * would wait behind those of others on the same route.
 *
 * Each route tier has a block of ranks whose size depends only on the number of
 * route tiers. So requests of two routes compare correctly when they were sent
 * under two versions between which accounts, or routes with known tiers, came
 * and went.
 */
export class UrgencyScale {
  private readonly accountTiers: readonly number[];
  private readonly routeTiers: readonly number[];
  private readonly rankCount: number;
  private readonly ranksPerRouteTier: number;

  constructor(
    configuration: RoutingConfiguration,
    options: UrgencyScaleOptions = {},
  ) {
    this.rankCount = options.rankCount ?? DEFAULT_RANK_COUNT;
    this.accountTiers = sortDistinct(listAccountTiers(configuration));
    this.routeTiers = sortDistinct(configuration.routes.map(({tier}) => tier));
    // With too few ranks, route tiers keep theirs and the least urgent account
    // tiers of each share one.
    const blocks = Math.max(1, this.routeTiers.length);
    const room = Math.floor(this.rankCount / blocks);
    this.ranksPerRouteTier = Math.max(1, room);
  }

  /**
   * The rank of a request; 0 is served first. The route's tier is used for an
   * account without one and for a caller without an account.
   *
   * @example
   * const rank = scale.rankRequest(route, table.findAccount(key));
   */
  rankRequest(route: Route, account: ClientAccountKeys | undefined): number {
    const accountTier = account?.tier ?? route.tier;
    const accountRank = rankAmong(this.accountTiers, accountTier);
    const routeRank = rankAmong(this.routeTiers, route.tier);
    const rank =
      routeRank * this.ranksPerRouteTier +
      Math.min(accountRank, this.ranksPerRouteTier - 1);
    return Math.min(rank, this.rankCount - 1);
  }
}

/** Tiers of accounts, and of routes whose tier may be used in their place. */
function listAccountTiers({
  routes,
  clientAccounts,
}: RoutingConfiguration): readonly number[] {
  const accounts = clientAccounts ?? [];
  const mayBeAnyRoute =
    clientAccounts === undefined ||
    accounts.some(({tier}) => tier === undefined);
  const fallbackRoutes = routes.filter(
    ({isPublic}) => isPublic || mayBeAnyRoute,
  );
  return [...accounts, ...fallbackRoutes].flatMap(({tier}) => tier ?? []);
}

function sortDistinct(tiers: readonly number[]): readonly number[] {
  return [...new Set(tiers)].sort((a, b) => a - b);
}

/** Number of the sorted tiers that are more urgent than this one. */
function rankAmong(tiers: readonly number[], tier: number): number {
  const place = tiers.findIndex(other => other >= tier);
  return place === -1 ? tiers.length : place;
}
