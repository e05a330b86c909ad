/** What an operator configures for pass-through routes. */

import type {
  Branded,
  ClientAccountId,
  DataCentreId,
  ServiceId,
} from '@snipestage/types/ids.js';

/** Name of a route; unique within a configuration. */
export type RouteId = Branded<string, 'RouteId'>;

/**
 * What may be done with a request after an attempt failed.
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
  /** The longest that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Until the answer, for streams until the first event. */
  readonly latencyTargetMs: number;
  /** The longest pause between events that is still on time. */
  readonly pauseTargetMs: number | undefined;
  /** 0 is served first. */
  readonly tier: number;
  /** Endpoints that one request may run on. */
  readonly maxAttempts: number;
  /** Needs no key. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another endpoint. */
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

/** What is known of a service whose endpoints are model engines. */
export interface EngineDescription {
  /** Requests that one engine works on at once. */
  readonly batchSize: number;
  readonly cacheTokens: number;
}

/** What endpoints of a service bear while they are cold after a start. */
export interface WarmupLimit {
  readonly durationMs: number;
  /** Requests a second that one cold endpoint bears. */
  readonly requestsPerS: number;
}

export interface Service {
  readonly id: ServiceId;
  /** Undefined where endpoints bear their full load at once. */
  readonly warmup?: WarmupLimit;
  readonly engine: EngineDescription | undefined;
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
  /** Goes before the route's tier. */
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
