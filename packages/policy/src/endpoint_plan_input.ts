/** What the endpoint plan is made from and what it says. */

import type {
  DataCentre,
  EndpointKind,
  EndpointPool,
} from '@snipestage/types/configuration.js';
import type {DataCentreId, EndpointId, ModelId} from '@snipestage/types/ids.js';

/** Work of one class that arrives in one data centre. */
export interface DemandLine {
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly tier: number;
  readonly cheapAllowed: boolean;
  /** Requests at once, running or waiting: rate times time to serve. */
  readonly concurrency: number;
}

/** An endpoint as the platform lists it, with what it runs. */
export interface ObservedEndpoint {
  readonly id: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  /** `leaving` by ticket or by the platform, whichever came first. */
  readonly state: 'starting' | 'live' | 'leaving';
  /** Requests in flight there, the most that any source tells. */
  readonly running: number;
}

/** A data centre, and whether the platform can be asked for endpoints there. */
export interface PlannedDataCentre extends DataCentre {
  readonly reachable: boolean;
}

/** Options with their defaults in {@link DEFAULT_PLAN_OPTIONS}. */
export interface PlanOptions {
  /** Share of an endpoint's concurrency that is planned for. */
  readonly utilisation: number;
  /** Tiers up to this one never depend on cheap endpoints. */
  readonly protectedTier: number;
  /** Most of the cheap-endpoint work that one data centre may hold. */
  readonly maxCheapShare: number;
  /** Cheap ones must cost this much less, for the work that their loss wastes. */
  readonly cheapPriceFactor: number;
  /** From ordering an endpoint until it serves. */
  readonly replaceMs: number;
  /** From the last new work until idle; above the longest deadline. */
  readonly drainMs: number;
  /** From the plan until no instance sends new work; above the load's lag. */
  readonly settleMs: number;
  /** Need must have been higher for so long before more are ordered. */
  readonly scaleUpAfterMs: number;
  /** Need must have been lower for so long before endpoints are given up. */
  readonly scaleDownAfterMs: number;
  /** How long cheap endpoints may fail to appear. */
  readonly cheapWaitMs: number;
  /** How long none are asked for after that. */
  readonly cheapRetryMs: number;
}

const MINUTE_MS = 60_000;

/** Used where the input gives no others. */
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

/** A count that changes only after a while. */
export interface HeldCount {
  readonly count: number;
  /** Another count that has been needed since, at least as far from this one. */
  readonly other?: {
    readonly isRise: boolean;
    readonly sinceEpochMs: number;
    readonly closest: number;
  };
}

/** What the next plan needs of this one for one pool. */
export interface PoolMemory {
  readonly regular?: HeldCount;
  readonly cheap?: HeldCount;
  readonly cheapShortSinceEpochMs?: number;
  readonly cheapAwayUntilEpochMs?: number;
}

/** What the next plan needs of this one. A lost one costs hysteresis only. */
export interface PlanMemory {
  readonly pools: Readonly<Record<string, PoolMemory>>;
  /** Data centres that have begun to drain; they don't turn back. */
  readonly draining: readonly DataCentreId[];
  /** Since when endpoints have been drained by the plan. */
  readonly drainedSinceEpochMs: Readonly<Record<string, number>>;
}

/** Before the first plan. */
export const EMPTY_PLAN_MEMORY: PlanMemory = {
  pools: {},
  draining: [],
  drainedSinceEpochMs: {},
};

/** All that a plan is made from. */
export interface PlanInput {
  readonly nowEpochMs: number;
  readonly dataCentres: readonly PlannedDataCentre[];
  readonly pools: readonly EndpointPool[];
  /** Fresh measurements; the last known ones of a data centre that is gone. */
  readonly demand: readonly DemandLine[];
  readonly endpoints: readonly ObservedEndpoint[];
  /**
   * Requests at once that an endpoint of the pool carries within the latency
   * targets, as learned; the pool's own figure where none has been.
   */
  readonly concurrencyWithinTargets?: ReadonlyMap<string, number>;
  readonly memory?: PlanMemory;
  readonly options?: Partial<PlanOptions>;
}

/** How many endpoints of one kind a pool shall have. */
export interface PoolTarget {
  readonly dataCentre: DataCentreId;
  readonly model: ModelId;
  readonly kind: EndpointKind;
  /** What to order; counts draining ones that still run something. */
  readonly targetCount: number;
  /** Get no new work from now on. */
  readonly drain: readonly EndpointId[];
  /** Those of them that are idle for good, to be given up first. */
  readonly release: readonly EndpointId[];
}

/** Something the plan can't give, for operators to see in good time. */
export interface Shortfall {
  readonly model: ModelId;
  readonly reason: 'pool_limit' | 'no_data_centre' | 'not_ready_in_time';
  readonly dataCentre?: DataCentreId;
  /** Endpoints missing, or still to be replaced. */
  readonly missing: number;
}

/**
 * - `preparing`: others are getting ready to take its work.
 * - `draining`: they are ready; it gets no new work.
 * - `left`: it has no endpoint any more.
 */
export type DeparturePhase = 'preparing' | 'draining' | 'left';

/** A data centre on its way out. */
export interface Departure {
  readonly dataCentre: DataCentreId;
  readonly phase: DeparturePhase;
}

/** What to order and what to tell operators. */
export interface EndpointPlan {
  readonly targets: readonly PoolTarget[];
  readonly shortfalls: readonly Shortfall[];
  readonly departures: readonly Departure[];
  readonly memory: PlanMemory;
}
