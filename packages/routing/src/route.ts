/** Configuration of pass-through routes. */

import type {
  Branded,
  ClientAccountId,
  DataCentreId,
  ServiceId,
} from '@snipestage/types/ids.js';

/** Name of a route; unique within a configuration. */
export type RouteId = Branded<string, 'RouteId'>;

/**
 * Whether a request may run again after a failed attempt.
 *
 * - `idempotent`: it may run more than once.
 * - `non_idempotent`: it runs at most once.
 * - `stream`: its answer is a series of events. It runs at most once unless the
 *   route is resumable.
 */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'stream';

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Shares are relative to the sum over the route's targets. */
  readonly weight: number;
}

export interface Route {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time for which a caller waits for the answer. */
  readonly timeoutMs: number;
  /** Target time until the answer, for streams until the first event. */
  readonly latencyTargetMs: number;
  /** Longest pause between events that meets the target. */
  readonly pauseTargetMs: number | undefined;
  /** Routes with a lower tier are more urgent; 0 is served first. */
  readonly tier: number;
  /** Endpoints that one request may run on. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly isResumable: boolean;
}

/** How many endpoints of a service may be ordered in each data centre. */
export interface ScalingLimits {
  readonly minCount: number;
  readonly maxCount: number;
  readonly bootMs: number;
  /** Price of a cheap endpoint, relative to a regular one. */
  readonly cheapPriceRatio: number;
  /** Price of a regular endpoint by data centre. */
  readonly priceByDataCentre: ReadonlyMap<DataCentreId, number>;
}

/** Properties of a service whose endpoints are model engines. */
export interface EngineDescription {
  /** Requests that one engine works on at once. */
  readonly batchSize: number;
  readonly cacheTokens: number;
  /** Whether its engines move running requests to one another (false). */
  readonly migratesRequests?: boolean;
  /** How long the copy of a request's memory is kept (not known). */
  readonly handleTtlMs?: number;
}

/** Load that endpoints of a service can take while cold after a start. */
export interface WarmupLimit {
  readonly durationMs: number;
  /** Requests a second that one cold endpoint can take. */
  readonly requestsPerS: number;
}

export interface Service {
  readonly id: ServiceId;
  /** Undefined if endpoints can take their full load from the start. */
  readonly warmup?: WarmupLimit;
  readonly engine: EngineDescription | undefined;
  /** Path at which its endpoints state their id; undefined: they state none. */
  readonly healthPath?: string;
  readonly scaling: ScalingLimits | undefined;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface ClientAccountKeys {
  readonly id: ClientAccountId;
  readonly keys: readonly string[];
  /** Ranks requests of routes of one tier; that tier is used if undefined. */
  readonly tier: number | undefined;
}

/** One version of the whole configuration. */
export interface RoutingConfiguration {
  /** Rises with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined when callers need no keys at all. */
  readonly clientAccounts: readonly ClientAccountKeys[] | undefined;
}
