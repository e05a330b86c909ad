/** Input and output of the endpoint plan. */

import type {
  DataCentre,
  EndpointKind,
  EndpointPool,
} from '@snipestage/types/configuration.js';
import type {DataCentreId, EndpointId, ModelId} from '@snipestage/types/ids.js';

/** Demand of one class that arrives in one data centre. */
export interface DemandLine {
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly tier: number;
  readonly cheapAllowed: boolean;
  /** Concurrent requests, running or waiting: rate times service time. */
  readonly concurrency: number;
}

/** An endpoint as the platform lists it, with its requests in flight. */
export interface ObservedEndpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  /** `leaving` by ticket or by the platform, whichever came first. */
  readonly state: 'starting' | 'live' | 'leaving';
  /** Requests in flight there; the highest number from any source. */
  readonly running: number;
}

/** A data centre, and whether endpoints can be ordered there now. */
export interface PlannedDataCentre extends DataCentre {
  readonly reachable: boolean;
}

/** Options with their defaults in {@link DEFAULT_PLAN_OPTIONS}. */
export interface PlanOptions {
  /** Share of an endpoint's concurrency that is planned for. */
  readonly utilisation: number;
  /** Tiers up to this one never depend on cheap endpoints. */
  readonly protectedTier: number;
  /** Maximum share of the work for cheap endpoints held by one data centre. */
  readonly maxCheapShare: number;
  /**
   * The cheap price times this must be below the regular price, to make up for
   * the work that is wasted when cheap endpoints are lost.
   */
  readonly cheapPriceFactor: number;
  /** Time from ordering an endpoint until it serves. */
  readonly replaceMs: number;
  /** Time from the last new work until idle; above the longest deadline. */
  readonly drainMs: number;
  /**
   * Time from the plan until no instance sends new work; above the load lag.
   */
  readonly settleMs: number;
  /** How long the need must have been higher before more are ordered. */
  readonly scaleUpAfterMs: number;
  /** How long the need must have been lower before endpoints are given up. */
  readonly scaleDownAfterMs: number;
  /**
   * How long planned cheap endpoints may be missing before none are ordered.
   */
  readonly cheapWaitMs: number;
  /** How long no more are ordered after that. */
  readonly cheapRetryMs: number;
}

const MINUTE_MS = 60_000;

/** Defaults of the options that the input leaves out. */
export const DEFAULT_PLAN_OPTIONS: PlanOptions = {
  utilisation: 0.7,
  protectedTier: 0,
  maxCheapShare: 0.5,
  cheapPriceFactor: 1.1,
  replaceMs: 20 * MINUTE_MS,
  drainMs: 10 * MINUTE_MS,
  settleMs: 15_000,
  scaleUpAfterMs: 30_000,
  scaleDownAfterMs: 10 * MINUTE_MS,
  cheapWaitMs: 3 * MINUTE_MS,
  cheapRetryMs: 10 * MINUTE_MS,
};

/** A count that changes only after another was needed for some time. */
export interface DampedCount {
  readonly count: number;
  /**
   * A rise or fall that has been needed since `sinceEpochMs`; `closest` is the
   * need in that time that was nearest to `count`.
   */
  readonly pendingChange?: {
    readonly isRise: boolean;
    readonly sinceEpochMs: number;
    readonly closest: number;
  };
}

/** State of one pool that the next plan needs. */
export interface PoolMemory {
  readonly regular?: DampedCount;
  readonly cheap?: DampedCount;
  readonly cheapShortSinceEpochMs?: number;
  /** Until when cheap endpoints count as unavailable. */
  readonly cheapAwayUntilEpochMs?: number;
}

/**
 * State that the next plan needs. Without it, hysteresis and the settle times
 * start anew, and which data centres drain is decided anew.
 */
export interface PlanMemory {
  readonly pools: Readonly<Record<string, PoolMemory>>;
  /** Data centres that have begun to drain; they don't stop draining. */
  readonly draining: readonly DataCentreId[];
  /** When the plan first drained each endpoint that it still drains. */
  readonly drainedSinceEpochMs: Readonly<Record<string, number>>;
}

/** The memory before the first plan. */
export const EMPTY_PLAN_MEMORY: PlanMemory = {
  pools: {},
  draining: [],
  drainedSinceEpochMs: {},
};

/** Input of `planEndpoints`. */
export interface PlanInput {
  readonly nowEpochMs: number;
  readonly dataCentres: readonly PlannedDataCentre[];
  readonly pools: readonly EndpointPool[];
  /** Fresh measurements; the last known ones for a data centre that is lost. */
  readonly demand: readonly DemandLine[];
  readonly endpoints: readonly ObservedEndpoint[];
  /**
   * Concurrent requests that an endpoint carries within the latency targets, as
   * learned, by pool id; `maxConcurrencyPerEndpoint` of the pool if absent.
   */
  readonly concurrencyWithinTargets?: ReadonlyMap<string, number>;
  readonly memory?: PlanMemory;
  readonly options?: Partial<PlanOptions>;
}

/** Target number of endpoints of one kind in a pool. */
export interface PoolTarget {
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  /** Number to order; counts drained ones that are not released yet. */
  readonly targetCount: number;
  /** Endpoints that get no new work from now on. */
  readonly drain: readonly EndpointId[];
  /** Drained endpoints that will stay idle, to be given up first. */
  readonly release: readonly EndpointId[];
}

/** Something that the plan can't provide, reported to operators in time. */
export interface Shortfall {
  readonly model: ModelId;
  readonly reason: 'pool_limit' | 'no_data_centre' | 'not_ready_in_time';
  readonly dataCentre?: DataCentreId;
  /** Endpoints missing, or still to be replaced. */
  readonly missing: number;
}

/**
 * - `preparing`: other data centres are getting ready to take its work.
 * - `draining`: they are ready, or its date allows no further wait; it gets no
 *   new work.
 * - `left`: it has no endpoints any more.
 */
export type DeparturePhase = 'preparing' | 'draining' | 'left';

/** A data centre that is leaving. */
export interface Departure {
  readonly dataCentre: DataCentreId;
  readonly phase: DeparturePhase;
}

/** Targets to order, reports to operators, and memory for the next plan. */
export interface EndpointPlan {
  readonly targets: readonly PoolTarget[];
  readonly shortfalls: readonly Shortfall[];
  readonly departures: readonly Departure[];
  readonly memory: PlanMemory;
}
