/** Accounts for the tokens that engines hold and have to read. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import {
  estimateOtherTokens,
  shareRequests,
  type OtherTokens,
} from './engine_estimates.js';
import {
  describeTokens,
  EngineLedger,
  type RequestTokens,
} from './engine_ledger.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import type {Prompt} from './prompt.js';
import type {RouteMeans} from './route_samples.js';
import type {EngineDescription, RouteId} from './route.js';
import {ServiceSamples} from './service_samples.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link EngineAccounts}; defaults in brackets. */
export interface EngineAccountsOptions {
  readonly monitor: Pick<
    EndpointMonitor,
    'estimateLoad' | 'estimateWaiting' | 'inFlight' | 'loadAgeMs'
  >;
  /** Undefined for services whose endpoints are no engines. */
  readonly findEngine: (service: ServiceId) => EngineDescription | undefined;
  /** Number of instances; undefined until known. */
  readonly readInstances?: () => number | undefined;
  /** Number of engines that serve (1). */
  readonly countEngines?: (service: ServiceId) => number;
  /** Routes whose requests an engine gets by the split (all). */
  readonly routesAt?: (
    endpoint: ServingEndpoint,
    nowMs: number,
  ) => ReadonlySet<RouteId> | undefined;
  /** Duration of work at an endpoint, by all corrections (1). */
  readonly slownessOf?: (endpoint: ServingEndpoint, nowMs: number) => number;
}

/** Tokens at an engine, of the requests of all instances. */
export interface EngineTokens {
  readonly held: number;
  /** Of prompts that the engine has not read. */
  readonly unread: number;
  /** What may be held. */
  readonly limit: number;
  /** Whether a load that is recent enough is part of the estimate. */
  readonly isKnown: boolean;
}

/** An older load shows a queue that has changed since. */
const MAX_LOAD_AGE_MS = 2000;
/** The rest covers errors of the estimate: an engine above its memory crashes. */
const MEMORY_SHARE = 0.95;
/** A single output counts at most as this share of an engine's memory. */
const MAX_OUTPUT_SHARE = 1 / 32;

const NO_TOKENS: OtherTokens = {held: 0, unread: 0};

/**
 * Requests of this instance are accounted for exactly. Those of others are
 * counted by the latest reported load, with the sizes of this instance's own
 * requests.
 */
export class EngineAccounts {
  private readonly ledgers = new Map<EndpointId, EngineLedger>();
  private readonly services = new Map<ServiceId, ServiceSamples>();

  constructor(private readonly options: EngineAccountsOptions) {}

  /** Undefined for services whose endpoints are no engines. */
  findEngine(service: ServiceId): EngineDescription | undefined {
    return this.options.findEngine(service);
  }

  /** Whether a load that is recent enough shows an engine's queue. */
  isKnown(endpoint: ServingEndpoint, nowMs: number): boolean {
    const ageMs = this.options.monitor.loadAgeMs(endpoint.id, nowMs);
    return ageMs !== undefined && ageMs <= MAX_LOAD_AGE_MS;
  }

  /** Means of the requests of a service, by this instance's own. */
  readMeans(
    service: ServiceId,
    nowMs: number,
  ): ReadonlyMap<RouteId, RouteMeans> {
    return this.serviceOf(service).routes.read(nowMs);
  }

  /** Undefined where endpoints are no engines. */
  readTokens(
    endpoint: ServingEndpoint,
    nowMs: number,
  ): EngineTokens | undefined {
    const {id, service} = endpoint;
    const engine = this.options.findEngine(service);
    if (engine === undefined) return undefined;
    const ledger = this.ledgers.get(id);
    const limit = engine.cacheTokens * MEMORY_SHARE;
    const ageMs = this.options.monitor.loadAgeMs(id, nowMs);
    const isKnown = ageMs !== undefined && ageMs <= MAX_LOAD_AGE_MS;
    const others = isKnown
      ? this.estimateOthers(endpoint, engine, nowMs)
      : NO_TOKENS;
    return {
      held: (ledger?.heldTokens ?? 0) + others.held,
      unread: (ledger?.unreadTokens ?? 0) + others.unread,
      limit,
      isKnown,
    };
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.ledgers.keys()) {
      if (!ids.has(id)) this.ledgers.delete(id);
    }
  }

  /** Its cache is empty; requests that were in progress there don't count. */
  forget(id: EndpointId): void {
    this.ledgers.delete(id);
  }

  /** Tokens of the requests of other instances. */
  private estimateOthers(
    endpoint: ServingEndpoint,
    engine: EngineDescription,
    nowMs: number,
  ): OtherTokens {
    const {id, service} = endpoint;
    const {monitor, readInstances, countEngines} = this.options;
    const ledger = this.ledgerOf(id);
    const {tokensPerMs} = this.serviceOf(service);
    const load = monitor.estimateLoad(id, nowMs);
    const requests = Math.max(0, load - monitor.inFlight(id));
    const means = this.readMeans(service, nowMs);
    return estimateOtherTokens({
      requests,
      ownUnread: ledger.unreadCount,
      ownRequests: monitor.inFlight(id),
      tokensPerMs: tokensPerMs / this.slowness(endpoint, nowMs),
      waiting: Math.min(requests, monitor.estimateWaiting(id, nowMs)),
      loadAgeMs: monitor.loadAgeMs(id, nowMs) ?? 0,
      means,
      mix: this.mixAt(endpoint, nowMs),
      cacheTokens: engine.cacheTokens,
      otherInstances: (readInstances?.() ?? 1) - 1,
      engines: countEngines?.(service) ?? 1,
    });
  }

  /** Memory that a prompt and its response take up there. */
  neededTokens({id, service}: ServingEndpoint, prompt: Prompt): number {
    return this.ledgerOf(id).neededTokens(this.describe(service, prompt));
  }

  /** Share of each route in the requests that an engine gets. */
  mixAt(
    endpoint: ServingEndpoint,
    nowMs: number,
  ): ReadonlyMap<RouteId, number> {
    const means = this.readMeans(endpoint.service, nowMs);
    return shareRequests(means, this.options.routesAt?.(endpoint, nowMs));
  }

  /** The tokens of a prompt by what becomes of them. */
  describe(service: ServiceId, prompt: Prompt): RequestTokens {
    const memory = this.options.findEngine(service)?.cacheTokens ?? 0;
    return describeTokens(prompt, {maxOutputTokens: memory * MAX_OUTPUT_SHARE});
  }

  slowness(endpoint: ServingEndpoint, nowMs: number): number {
    return this.options.slownessOf?.(endpoint, nowMs) ?? 1;
  }

  ledgerOf(id: EndpointId): EngineLedger {
    const existing = this.ledgers.get(id);
    if (existing !== undefined) return existing;
    const ledger = new EngineLedger();
    this.ledgers.set(id, ledger);
    return ledger;
  }

  serviceOf(service: ServiceId): ServiceSamples {
    const existing = this.services.get(service);
    if (existing !== undefined) return existing;
    const samples = new ServiceSamples();
    this.services.set(service, samples);
    return samples;
  }
}
