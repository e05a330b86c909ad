/** How urgent a request is, as a few ranks that endpoints tell apart. */

import type {ClientAccountKeys, Route, RoutingConfiguration} from './route.js';

/** What an {@link UrgencyScale} is made from; defaults in the brackets. */
export interface UrgencyScaleOptions {
  /** Ranks that endpoints tell apart (10, as model engines here do). */
  readonly rankCount?: number;
}

const DEFAULT_RANK_COUNT = 10;

/**
 * Ranks requests by the tier of their route, and those of equal routes by the
 * tier of their client account. Rank 0 goes first.
 *
 * An engine knows one number. If accounts went first, a burst of a favoured
 * account's long prompts would preempt the short answers that all others wait
 * for: the engine reads those again from the start, and their callers leave. If
 * accounts did not count at all, a favoured account's callers would wait behind
 * those of the others on the same route.
 *
 * Ranks are places among the tiers that a configuration mentions, not among the
 * pairs in use. So they stay as they are when accounts and routes come and go,
 * and requests that were sent under two versions compare as they should.
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
    // Where there are too few ranks, routes keep theirs and the least urgent
    // accounts of each share one.
    const room = Math.floor(this.rankCount / this.routeTiers.length);
    this.ranksPerRouteTier = Math.max(
      1,
      Math.min(this.accountTiers.length, room),
    );
  }

  /**
   * The rank of a request; 0 goes first. A route's tier stands in for that of
   * an account without one and of a caller without an account.
   *
   * @example
   * const rank = scale.rankRequest(route, table.findAccount(key));
   */
  rankRequest(route: Route, account: ClientAccountKeys | undefined): number {
    const accountTier = account?.tier ?? route.tier;
    const accountPlace = placeAmong(this.accountTiers, accountTier);
    const routePlace = placeAmong(this.routeTiers, route.tier);
    const rank =
      routePlace * this.ranksPerRouteTier +
      Math.min(accountPlace, this.ranksPerRouteTier - 1);
    return Math.min(rank, this.rankCount - 1);
  }
}

/** Tiers of accounts, and of the routes that may stand in for one. */
function listAccountTiers({
  routes,
  clientAccounts,
}: RoutingConfiguration): readonly number[] {
  const accounts = clientAccounts ?? [];
  const mayBeAnyRoute =
    clientAccounts === undefined ||
    accounts.some(({tier}) => tier === undefined);
  const standIns = routes.filter(({isPublic}) => isPublic || mayBeAnyRoute);
  return [...accounts, ...standIns].flatMap(({tier}) => tier ?? []);
}

function sortDistinct(tiers: readonly number[]): readonly number[] {
  return [...new Set(tiers)].sort((a, b) => a - b);
}

/** How many of the sorted tiers are more urgent than this one. */
function placeAmong(tiers: readonly number[], tier: number): number {
  const place = tiers.findIndex(other => other >= tier);
  return place === -1 ? tiers.length : place;
}
