/**
 * Plans how many endpoints of each kind each data centre needs. Pure and
 * deterministic: instances with the same input compute the same plan, and a new
 * lease holder carries on from the endpoints that exist.
 */

import type {EndpointKind} from '@snipestage/types/configuration.js';
import type {ModelId} from '@snipestage/types/ids.js';
import {
  findDepartures,
  hasLeft,
  scheduleDepartures,
  type ScheduledDeparture,
} from './endpoint_plan_departures.js';
import {divideDemand, type PoolDemand} from './endpoint_plan_demand.js';
import {
  recordDrainStarts,
  presentOf,
  targetOf,
  type DrainState,
} from './endpoint_plan_drain.js';
import {
  DEFAULT_PLAN_OPTIONS,
  EMPTY_PLAN_MEMORY,
  type Departure,
  type EndpointPlan,
  type DampedCount,
  type PlanInput,
  type PlanMemory,
  type PlanOptions,
  type PoolMemory,
  type PoolTarget,
  type Shortfall,
} from './endpoint_plan_input.js';
import {dampCount, trackCheapAvailability} from './endpoint_plan_memory.js';
import {
  countMissing,
  isCheapLive,
  isReplaced,
  modelsOf,
} from './endpoint_plan_readiness.js';
import {
  planSupply,
  type PoolNeed,
  type Supply,
} from './endpoint_plan_supply.js';

/** The input, and values derived from it. */
interface Context {
  readonly input: PlanInput;
  readonly options: PlanOptions;
  readonly memory: PlanMemory;
  readonly startedDepartures: readonly ScheduledDeparture[];
  readonly drainState: DrainState;
}

/**
 * Plans targets from demand, prices, limits and leaving dates. A data centre
 * that leaves keeps its endpoints until the others can carry its work, or until
 * it must drain to meet its date; then it drains. An unreachable data centre
 * gets no target: its own instances go on with the endpoints that it has.
 *
 * @example
 * const plan = planEndpoints({...input, memory: lastPlan.memory});
 */
export function planEndpoints(input: PlanInput): EndpointPlan {
  const context = createContext(input);
  const {demands, unserved} = divideDemand(
    input,
    new Set(context.startedDepartures.map(departure => departure.dataCentre)),
    context.options,
  );
  const cheap = trackAllCheapAvailability(context);
  const supply = planSupply(
    demands,
    demand => cheapLimitOf(demand, context, cheap),
    context.options,
  );
  const departures = decideDepartures(context, supply);
  const pools = dampAllCounts(context, supply, cheap);
  const targets = [
    ...supply.needs.flatMap(need => stayingTargets(need, context, pools)),
    ...departures.flatMap(departure => leavingTargets(departure, context)),
  ];
  return {
    targets,
    shortfalls: [
      ...supply.shortfalls,
      ...unserved.map(({model, concurrency}) => ({
        model,
        reason: 'no_data_centre' as const,
        missing: countEndpointsFor(model, concurrency, context),
      })),
      ...findLateReplacements(context, departures, supply),
    ],
    departures,
    memory: {
      pools,
      draining: departures
        .filter(departure => departure.phase === 'draining')
        .map(departure => departure.dataCentre),
      drainedSinceEpochMs: recordDrainStarts(targets, context.drainState),
    },
  };
}

function createContext(input: PlanInput): Context {
  const options = {...DEFAULT_PLAN_OPTIONS, ...input.options};
  const schedule = scheduleDepartures(input.dataCentres, options);
  const startedDepartures = findDepartures(
    schedule,
    input.endpoints,
    input.nowEpochMs,
    options,
  );
  const memory = input.memory ?? EMPTY_PLAN_MEMORY;
  const drainState = {
    nowEpochMs: input.nowEpochMs,
    settleMs: options.settleMs,
    drainedSinceEpochMs: memory.drainedSinceEpochMs,
  };
  return {input, options, memory, startedDepartures, drainState};
}

function trackAllCheapAvailability({input, options, memory}: Context) {
  const notes = input.pools.map(pool => {
    const have = presentOf(pool, 'cheap', input.endpoints).length;
    const before = memory.pools[pool.id] ?? {};
    const note = trackCheapAvailability(
      before,
      have,
      input.nowEpochMs,
      options,
    );
    return [pool.id, note] as const;
  });
  return new Map<string, PoolMemory>(notes);
}

/** While cheap endpoints are unavailable, those present still count. */
function cheapLimitOf(
  {pool}: PoolDemand,
  {input}: Context,
  cheap: ReadonlyMap<string, PoolMemory>,
): number {
  if (cheap.get(pool.id)?.cheapAwayUntilEpochMs === undefined) {
    return pool.maxCheap;
  }
  const have = presentOf(pool, 'cheap', input.endpoints).length;
  return Math.min(pool.maxCheap, have);
}

function dampAllCounts(
  {input, options, memory}: Context,
  supply: Supply,
  cheap: ReadonlyMap<string, PoolMemory>,
): Record<string, PoolMemory> {
  const {nowEpochMs} = input;
  const entries = supply.needs.map(need => {
    const {pool} = need.demand;
    const before = memory.pools[pool.id] ?? {};
    const note = cheap.get(pool.id) ?? {};
    const isUnavailable = note.cheapAwayUntilEpochMs !== undefined;
    // Regular endpoints stay until the cheap ones that replace them are live.
    const mayFall = isCheapLive(supply, pool.model, input);
    const regular = dampCount(
      before.regular ?? presentCount(need, 'regular', input),
      need.regular,
      nowEpochMs,
      options,
      mayFall,
    );
    const cheapBefore = before.cheap ?? presentCount(need, 'cheap', input);
    const cheapCount = isUnavailable
      ? {count: need.cheap}
      : dampCount(cheapBefore, need.cheap, nowEpochMs, options);
    const clamped = clampToPoolLimits(regular, pool, need.regular);
    return [pool.id, {...note, regular: clamped, cheap: cheapCount}] as const;
  });
  return Object.fromEntries(entries);
}

/**
 * Operators' limits apply immediately: the waiting time is meant for demand,
 * which fluctuates, not for operators' tickets.
 */
function clampToPoolLimits(
  held: DampedCount,
  pool: PoolNeed['demand']['pool'],
  need: number,
): DampedCount {
  const least = Math.min(pool.minRegular, need);
  if (held.count < least) return {count: least};
  if (held.count > pool.maxRegular) return {count: pool.maxRegular};
  return held;
}

/** A new lease holder takes the endpoints present as the planned count. */
function presentCount(
  {demand}: PoolNeed,
  kind: EndpointKind,
  input: PlanInput,
): DampedCount | undefined {
  const count = presentOf(demand.pool, kind, input.endpoints).length;
  return count === 0 ? undefined : {count};
}

function decideDepartures(
  {input, memory, startedDepartures}: Context,
  supply: Supply,
): Departure[] {
  return startedDepartures.map(({dataCentre, drainByEpochMs}) => {
    if (hasLeft(dataCentre, input.endpoints)) {
      return {dataCentre, phase: 'left' as const};
    }
    const isDraining =
      memory.draining.includes(dataCentre) ||
      input.nowEpochMs >= drainByEpochMs ||
      modelsOf(dataCentre, input).every(model =>
        isReplaced(model, supply, input),
      );
    const phase = isDraining ? ('draining' as const) : ('preparing' as const);
    return {dataCentre, phase};
  });
}

function stayingTargets(
  need: PoolNeed,
  {input, drainState}: Context,
  pools: Readonly<Record<string, PoolMemory>>,
): PoolTarget[] {
  const {pool} = need.demand;
  const held = pools[pool.id];
  const regular = Math.min(pool.maxRegular, held.regular?.count ?? 0);
  const cheap = Math.min(pool.maxCheap, held.cheap?.count ?? 0);
  return [
    targetOf(pool, 'regular', regular, input.endpoints, drainState),
    targetOf(pool, 'cheap', cheap, input.endpoints, drainState),
  ];
}

function leavingTargets(
  {dataCentre, phase}: Departure,
  {input, drainState}: Context,
): PoolTarget[] {
  const centre = input.dataCentres.find(each => each.id === dataCentre);
  if (centre?.reachable !== true) return [];
  const pools = input.pools.filter(pool => pool.dataCentre === dataCentre);
  const kinds = ['regular', 'cheap'] as const;
  return pools.flatMap(pool =>
    kinds.map(kind => {
      // Endpoints lost while other data centres prepare are replaced there.
      const present = presentOf(pool, kind, input.endpoints).length;
      const desired = phase === 'preparing' ? present : 0;
      return targetOf(pool, kind, desired, input.endpoints, drainState);
    }),
  );
}

/** Data centres that must drain before all their replacements are live. */
function findLateReplacements(
  {input, startedDepartures}: Context,
  departures: readonly Departure[],
  supply: Supply,
): Shortfall[] {
  const forced = departures.filter(
    ({phase}, index) =>
      phase === 'draining' &&
      input.nowEpochMs >= startedDepartures[index].drainByEpochMs,
  );
  return forced.flatMap(({dataCentre}) =>
    modelsOf(dataCentre, input)
      .filter(model => !isReplaced(model, supply, input))
      .map(model => ({
        model,
        dataCentre,
        reason: 'not_ready_in_time' as const,
        missing: countMissing(model, supply, input),
      })),
  );
}

function countEndpointsFor(
  model: ModelId,
  concurrency: number,
  {input, options}: Context,
): number {
  const pool = input.pools.find(each => each.model === model);
  const perEndpoint = pool?.maxConcurrencyPerEndpoint ?? 1;
  return Math.ceil(concurrency / (perEndpoint * options.utilisation));
}
