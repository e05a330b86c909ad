/** Divides demand among the pools that can serve it. */

import type {EndpointPool} from '@snipestage/types/configuration.js';
import type {DataCentreId, ModelId, RegionId} from '@snipestage/types/ids.js';
import type {
  DemandLine,
  PlanInput,
  PlanOptions,
} from './endpoint_plan_input.js';

/** Demand that one pool is to carry, in concurrent requests. */
export interface PoolDemand {
  readonly pool: EndpointPool;
  readonly region: RegionId | undefined;
  /** Whether its data centre has a leaving date. */
  readonly isTemporary: boolean;
  /** Concurrent requests planned for one endpoint of the pool. */
  readonly perEndpoint: number;
  /** Demand that must not depend on cheap endpoints. */
  strict: number;
  /** Demand that may run on cheap endpoints. */
  flexible: number;
}

/** Demand that no pool can serve. */
export interface UnservedDemand {
  readonly model: ModelId;
  readonly concurrency: number;
}

/**
 * Assigns each line to its own data centre, or to others if its own is leaving,
 * is unreachable or has no pool that may hold endpoints: in its region first,
 * then anywhere. Of these it prefers data centres without a leaving date, so
 * that no work moves twice.
 *
 * @example
 * const {demands, unserved} = divideDemand(input, leaving, options);
 */
export function divideDemand(
  input: PlanInput,
  leaving: ReadonlySet<DataCentreId>,
  options: PlanOptions,
): {demands: PoolDemand[]; unserved: UnservedDemand[]} {
  const centres = new Map(input.dataCentres.map(each => [each.id, each]));
  const demands = input.pools
    .filter(({dataCentre}) => {
      const centre = centres.get(dataCentre);
      return centre?.reachable === true && !leaving.has(dataCentre);
    })
    .map(pool => ({
      pool,
      region: centres.get(pool.dataCentre)?.region,
      isTemporary: centres.get(pool.dataCentre)?.leaveByEpochMs !== undefined,
      perEndpoint: concurrencyPlanned(pool, input, options),
      strict: 0,
      flexible: 0,
    }));
  const unserved: UnservedDemand[] = [];
  for (const line of input.demand) {
    const region = centres.get(line.dataCentre)?.region;
    const hosts = choosePools(demands, line, region);
    addDemand(hosts, line, options);
    if (hosts.length === 0) unserved.push(line);
  }
  return {demands, unserved};
}

function concurrencyPlanned(
  pool: EndpointPool,
  input: PlanInput,
  options: PlanOptions,
): number {
  const concurrency =
    input.concurrencyWithinTargets?.get(pool.id) ??
    pool.maxConcurrencyPerEndpoint;
  return Math.max(concurrency * options.utilisation, Number.EPSILON);
}

function choosePools(
  demands: readonly PoolDemand[],
  line: DemandLine,
  region: RegionId | undefined,
): PoolDemand[] {
  const able = demands.filter(
    ({pool}) => pool.model === line.model && maxEndpointsOf(pool) > 0,
  );
  const own = able.filter(({pool}) => pool.dataCentre === line.dataCentre);
  if (own.length > 0) return own;
  const near = able.filter(demand => demand.region === region);
  const hosts = near.length > 0 ? near : able;
  const lasting = hosts.filter(demand => !demand.isTemporary);
  return lasting.length > 0 ? lasting : hosts;
}

function addDemand(
  hosts: readonly PoolDemand[],
  line: DemandLine,
  options: PlanOptions,
): void {
  const isStrict = !line.cheapAllowed || line.tier <= options.protectedTier;
  const room = hosts.reduce((sum, {pool}) => sum + maxEndpointsOf(pool), 0);
  for (const host of hosts) {
    const concurrency = (line.concurrency * maxEndpointsOf(host.pool)) / room;
    if (isStrict) host.strict += concurrency;
    else host.flexible += concurrency;
  }
}

function maxEndpointsOf(pool: EndpointPool): number {
  return pool.maxRegular + pool.maxCheap;
}
